package org.lycheetray.core.placement;

/**
 * Load that a backend server tells with an answer, over all its callers.
 *
 * @param running requests that it runs
 * @param waiting requests in its queue
 * @param slots requests that it runs at one time
 */
public record ReportedLoad(int running, int waiting, int slots) {}
