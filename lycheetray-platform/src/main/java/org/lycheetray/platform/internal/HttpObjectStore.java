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

/** HTTP client of the platform's object store. */
public final class HttpObjectStore implements ObjectStore {
    private static final String PUT = "object.put";
    private static final String GET = "object.get";
    private static final String LIST = "object.list";
    private static final byte[] NO_BODY = {};

    private final PlatformHttpClient http;

    /**
     * Creates an object store.
     *
     * @param http HTTP client for the requests
     */
    public HttpObjectStore(PlatformHttpClient http) {
        this.http = http;
    }

    @Override
    public Mono<PutResult> putIfAbsent(String name, byte[] content) {
        return http.sendIdempotent(PUT, HttpMethod.PUT, uri(name), content).flatMap(r -> switch (r.status()) {
            case 201 -> Mono.just(PutResult.STORED);
            case 412 -> get(name).map(present -> compare(present, content));
            default -> Mono.error(http.unexpectedReply(PUT, r));
        });
    }

    @Override
    public Mono<Optional<byte[]>> get(String name) {
        return http.sendIdempotent(GET, HttpMethod.GET, uri(name), NO_BODY).map(r -> switch (r.status()) {
            case 200 -> Optional.of(r.body());
            case 404 -> Optional.empty();
            default -> throw http.unexpectedReply(GET, r);
        });
    }

    @Override
    public Mono<ObjectPage> list(String prefix, Optional<String> after, int limit) {
        String uri = PlatformPaths.OBJECTS + "?prefix=" + PlatformHttpClient.encode(prefix) + "&limit=" + limit
                + after.map(a -> "&after=" + PlatformHttpClient.encode(a)).orElse("");
        return http.sendIdempotent(LIST, HttpMethod.GET, uri, NO_BODY).map(r -> {
            if (r.status() != 200) {
                throw http.unexpectedReply(LIST, r);
            }
            WireNames body = http.parse(LIST, r, WireNames.class);
            return new ObjectPage(body.names(), Optional.ofNullable(body.next()));
        });
    }

    private static String uri(String name) {
        return PlatformPaths.OBJECT + "?name=" + PlatformHttpClient.encode(name);
    }

    private static PutResult compare(Optional<byte[]> present, byte[] content) {
        return present.isPresent() && Arrays.equals(present.get(), content) ? PutResult.STORED : PutResult.TAKEN;
    }
}
