package org.lycheetray.core.health;

/**
 * What a backend server says of itself; it may lag or mislead.
 *
 * @param healthy false if it asks not to be used
 * @param leaving true if it is about to stop and takes nothing new
 */
public record HealthReport(boolean healthy, boolean leaving) {}
