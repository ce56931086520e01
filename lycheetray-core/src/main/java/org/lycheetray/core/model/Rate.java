package org.lycheetray.core.model;

/**
 * A token bucket's parameters: in any window of t seconds at most {@code burst + perSecond * t} requests.
 *
 * @param perSecond tokens added per second, at least 1
 * @param burst size of the bucket in tokens, at least 1
 */
public record Rate(long perSecond, long burst) {}
