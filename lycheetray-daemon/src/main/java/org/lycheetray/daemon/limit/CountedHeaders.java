package org.lycheetray.daemon.limit;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;

/** Headers of a message that is being decoded; each line reserves its memory. */
final class CountedHeaders extends DefaultHttpHeaders {
    private final HeadMemory memory;

    CountedHeaders(HeadMemory memory) {
        this.memory = memory;
    }

    /**
     * Adds a line that was decoded.
     *
     * @throws HeadMemoryException if its memory can't be reserved
     */
    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (!memory.tryGrow(HeadCost.ofLine(name, value.toString()))) {
            throw new HeadMemoryException();
        }
        return super.add(name, value);
    }
}
