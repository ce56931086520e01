package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses; treats a response to HEAD as having no body, whatever its Content-Length. */
final class ResponseDecoder extends HttpResponseDecoder {
    private HttpMethod requestMethod = HttpMethod.GET;

    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage msg) {
        return requestMethod.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(msg);
    }
}
