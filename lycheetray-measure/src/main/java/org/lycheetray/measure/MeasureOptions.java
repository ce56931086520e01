package org.lycheetray.measure;

/**
 * What a measurement may vary.
 *
 * @param seed seed of all randomness
 * @param quick true for the short run that CI makes
 */
public record MeasureOptions(long seed, boolean quick) {}
