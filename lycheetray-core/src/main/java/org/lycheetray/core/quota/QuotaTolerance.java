package org.lycheetray.core.quota;

import java.time.Duration;

/**
 * What the operators tolerate beyond a client account's rate, in any window.
 *
 * @param window length of the window
 * @param overage share of the window's requests that may come on top
 * @param slack requests that may come on top
 */
public record QuotaTolerance(Duration window, double overage, double slack) {}
