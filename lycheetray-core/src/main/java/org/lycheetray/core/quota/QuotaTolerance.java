package org.lycheetray.core.quota;

import java.time.Duration;

/**
 * Requests that operators tolerate in excess of a client account's rate in any window.
 *
 * @param window length of the window
 * @param overage tolerated excess as a fraction of the requests that the rate allows in the window
 * @param slack tolerated excess as a number of requests, in addition to the overage
 */
public record QuotaTolerance(Duration window, double overage, double slack) {}
