package org.lycheetray.platform.internal;

import io.netty.handler.codec.http.HttpMethod;
import java.util.Arrays;
import java.util.Optional;
import org.lycheetray.platform.ObjectPage;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PutResult;
import org.lycheetray.platform.wire.PlatformPaths;
import org.lycheetray.platform.wire.WireNames;
import reactor.core.publisher.Mono;

/** The object store over HTTP. */
public final class HttpObjectStore implements ObjectStore {
    private static final String PUT = "object.put";
    private static final String GET = "object.get";
    private static final String LIST = "object.list";
    private static final byte[] NO_BODY = {};

    private final PlatformHttp http;

    /**
     * Creates an adapter.
     *
     * @param http sends the requests
     */
    public HttpObjectStore(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public Mono<PutResult> putIfAbsent(String name, byte[] content) {
        return http.sendRepeatable(PUT, HttpMethod.PUT, uri(name), content).flatMap(r -> switch (r.status()) {
            case 201 -> Mono.just(PutResult.STORED);
            case 412 -> get(name).map(present -> compare(present, content));
            default -> Mono.error(http.unexpected(PUT, r));
        });
    }

    @Override
    public Mono<Optional<byte[]>> get(String name) {
        return http.sendRepeatable(GET, HttpMethod.GET, uri(name), NO_BODY).map(r -> switch (r.status()) {
            case 200 -> Optional.of(r.body());
            case 404 -> Optional.empty();
            default -> throw http.unexpected(GET, r);
        });
    }

    @Override
    public Mono<ObjectPage> list(String prefix, Optional<String> after, int limit) {
        String uri = PlatformPaths.OBJECTS + "?prefix=" + PlatformHttp.encode(prefix) + "&limit=" + limit
                + after.map(a -> "&after=" + PlatformHttp.encode(a)).orElse("");
        return http.sendRepeatable(LIST, HttpMethod.GET, uri, NO_BODY).map(r -> {
            if (r.status() != 200) {
                throw http.unexpected(LIST, r);
            }
            WireNames body = http.parse(LIST, r, WireNames.class);
            return new ObjectPage(body.names(), Optional.ofNullable(body.next()));
        });
    }

    private static String uri(String name) {
        return PlatformPaths.OBJECT + "?name=" + PlatformHttp.encode(name);
    }

    private static PutResult compare(Optional<byte[]> present, byte[] content) {
        return present.isPresent() && Arrays.equals(present.get(), content) ? PutResult.STORED : PutResult.TAKEN;
    }
}
