package org.lycheetray.daemon.request;

import java.time.Duration;

/**
 * What a caller is told about its client account's rate.
 *
 * @param perSecond tokens a second over the fleet
 * @param burst burst over the fleet
 * @param remaining tokens that this VM could admit at once
 * @param reset time until more tokens are there
 */
public record RateLimits(long perSecond, long burst, long remaining, Duration reset) {}
