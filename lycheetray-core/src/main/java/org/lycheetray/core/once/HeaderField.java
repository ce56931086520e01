package org.lycheetray.core.once;

/**
 * A header field of a stored answer.
 *
 * @param name header name
 * @param value header value
 */
public record HeaderField(String name, String value) {}
