package org.lycheetray.core.config;

import java.time.Duration;
import org.lycheetray.core.model.ConfigVersion;

/**
 * Evidence that no version newer than a bound had been accepted at a past time.
 *
 * @param age minimum age of the evidence
 * @param bound newest version that may have been accepted at that time
 */
public record FreshnessEvidence(Duration age, ConfigVersion bound) {}
