package org.lycheetray.core.model;

/**
 * Parameters of a token bucket, which admits at most {@code burst + perSecond * t} requests in any window of t seconds.
 *
 * @param perSecond tokens added per second, at least 1
 * @param burst capacity of the bucket in tokens, at least 1
 */
public record Rate(long perSecond, long burst) {}
