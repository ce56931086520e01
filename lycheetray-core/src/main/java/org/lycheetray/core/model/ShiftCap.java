package org.lycheetray.core.model;

import java.time.Duration;

/**
 * Limit on how fast a service's traffic may move between regions.
 *
 * @param permille maximum share of the service's traffic that may move in one interval, in permille, 1 to 1000
 * @param interval length of the interval
 */
public record ShiftCap(int permille, Duration interval) {}
