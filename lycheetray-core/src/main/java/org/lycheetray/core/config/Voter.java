package org.lycheetray.core.config;

import java.time.Instant;
import org.lycheetray.core.model.Incarnation;

/**
 * A VM whose confirmation its data centre's acknowledgement needs.
 *
 * @param incarnation the process
 * @param registeredAt wall-clock time of its registration
 */
public record Voter(Incarnation incarnation, Instant registeredAt) {}
