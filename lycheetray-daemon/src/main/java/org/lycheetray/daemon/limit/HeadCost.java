package org.lycheetray.daemon.limit;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Map;

/** Estimates the memory that the head of a message takes from its arrival until it has been sent on. */
public final class HeadCost {
    /** Bytes of a line without its text: its entry, name and value, and its entry in the head that is sent on. */
    private static final int LINE_BYTES = 224;

    /** Copies of the text: as received, as sent on, and as encoded for the connection. */
    private static final int TEXT_COPIES = 3;

    private HeadCost() {}

    /**
     * Returns the cost of a header line.
     *
     * @param name name of the header
     * @param value value of the header
     * @return number of bytes
     */
    public static long ofLine(CharSequence name, CharSequence value) {
        return LINE_BYTES + ofText(name.length() + value.length());
    }

    /**
     * Returns the cost of text that is part of a head, such as the URI.
     *
     * @param length number of characters
     * @return number of bytes
     */
    public static long ofText(int length) {
        return (long) TEXT_COPIES * length;
    }

    /**
     * Returns the cost of all header lines.
     *
     * @param headers the headers
     * @return number of bytes
     */
    public static long of(HttpHeaders headers) {
        long bytes = 0;
        for (Map.Entry<String, String> h : headers) {
            bytes += ofLine(h.getKey(), h.getValue());
        }
        return bytes;
    }
}
