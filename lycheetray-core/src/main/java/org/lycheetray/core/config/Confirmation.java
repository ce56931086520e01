package org.lycheetray.core.config;

import java.time.Duration;
import org.lycheetray.core.model.ConfigVersion;

/**
 * Evidence that nothing newer was accepted some time ago.
 *
 * @param age time since the evidence was taken, at least
 * @param bound no version above this one had been accepted by then
 */
public record Confirmation(Duration age, ConfigVersion bound) {}
