package org.lycheetray.core.health;

/**
 * Health as reported by a backend server itself; it may be outdated or wrong.
 *
 * @param healthy false if the server reports that it should not be used
 * @param leaving true if the server is shutting down and accepts no new requests
 */
public record HealthReport(boolean healthy, boolean leaving) {}
