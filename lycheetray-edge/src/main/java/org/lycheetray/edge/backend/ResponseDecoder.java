package org.lycheetray.edge.backend;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes answers; knows that an answer to HEAD has no body whatever its headers say. */
final class ResponseDecoder extends HttpResponseDecoder {
    private HttpMethod method = HttpMethod.GET;

    void expect(HttpMethod next) {
        method = next;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage msg) {
        return method.equals(HttpMethod.HEAD) || super.isContentAlwaysEmpty(msg);
    }
}
