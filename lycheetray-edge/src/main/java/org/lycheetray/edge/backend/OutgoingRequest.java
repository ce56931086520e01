package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.suspect.RequestFingerprint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.request.Body;

/**
 * A request to a backend server.
 *
 * @param id request identifier assigned by the caller
 * @param method HTTP method
 * @param uri path and query, unmodified
 * @param headers supplies the headers, called at the time of sending
 * @param body complete body
 * @param account client account of the request, if any
 * @param deadline time after which the answer is useless
 * @param regions regions through which the request may pass; empty for all
 */
public record OutgoingRequest(
        String id,
        HttpMethod method,
        String uri,
        Supplier<HttpHeaders> headers,
        Body body,
        Optional<ClientAccountName> account,
        MonotonicTime deadline,
        Set<RegionName> regions) {
    /** Creates a request with an immutable copy of the regions. */
    public OutgoingRequest {
        regions = Set.copyOf(regions);
    }

    /**
     * Returns what identifies this request and others like it.
     *
     * @return the fingerprint, the same on all VMs
     */
    public RequestFingerprint fingerprint() {
        return new RequestFingerprint(
                method.name(), headers.get().get(HttpHeaderNames.HOST, ""), uri, account, body.bytes());
    }
}
