package org.lycheetray.platform.internal;

import io.netty.handler.codec.http.HttpMethod;
import org.lycheetray.platform.VmList;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.wire.PlatformPaths;
import org.lycheetray.platform.wire.WireVms;
import reactor.core.publisher.Mono;

/** HTTP client of the platform's VM list. */
public final class HttpVmList implements VmList {
    private static final String STEP = "vms.list";
    private static final byte[] NO_BODY = {};

    private final PlatformHttpClient http;

    /**
     * Creates a VM list.
     *
     * @param http HTTP client for the requests
     */
    public HttpVmList(PlatformHttpClient http) {
        this.http = http;
    }

    @Override
    public Mono<VmListing> current() {
        return http.sendIdempotent(STEP, HttpMethod.GET, PlatformPaths.VMS, NO_BODY)
                .map(r -> {
                    if (r.status() != 200) {
                        throw http.unexpectedReply(STEP, r);
                    }
                    return http.parse(STEP, r, WireVms.class).toListing();
                })
                .onErrorMap(IllegalArgumentException.class, e -> http.toPlatformException(STEP, e));
    }
}
