package org.lycheetray.platform.internal;

import io.netty.handler.codec.http.HttpMethod;
import org.lycheetray.platform.VmList;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.wire.PlatformPaths;
import org.lycheetray.platform.wire.WireVms;
import reactor.core.publisher.Mono;

/** The list of VMs over HTTP. */
public final class HttpVmList implements VmList {
    private static final String STEP = "vms.list";
    private static final byte[] NO_BODY = {};

    private final PlatformHttp http;

    /**
     * Creates an adapter.
     *
     * @param http sends the requests
     */
    public HttpVmList(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public Mono<VmListing> current() {
        return http.sendRepeatable(STEP, HttpMethod.GET, PlatformPaths.VMS, NO_BODY)
                .map(r -> {
                    if (r.status() != 200) {
                        throw http.unexpected(STEP, r);
                    }
                    return http.parse(STEP, r, WireVms.class).toListing();
                })
                .onErrorMap(IllegalArgumentException.class, e -> http.failure(STEP, e));
    }
}
