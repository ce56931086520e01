package org.lycheetray.daemon.request;

import java.time.Duration;

/**
 * Rate-limit state of a client account, as reported to the caller in the rate-limit headers.
 *
 * @param requestsPerSecond rate of the fleet, in tokens per second
 * @param burst burst of the fleet, in tokens
 * @param remaining requests that this VM could admit immediately
 * @param resetAfter time until more tokens are available
 */
public record RateLimits(long requestsPerSecond, long burst, long remaining, Duration resetAfter) {}
