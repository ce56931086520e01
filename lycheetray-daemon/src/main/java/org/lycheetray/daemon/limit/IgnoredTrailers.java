package org.lycheetray.daemon.limit;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Trailers of a message, which are not sent on and therefore not kept. */
final class IgnoredTrailers extends DefaultHttpHeaders {
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        return this;
    }
}
