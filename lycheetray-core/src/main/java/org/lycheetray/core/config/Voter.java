package org.lycheetray.core.config;

import java.time.Instant;
import org.lycheetray.core.model.Incarnation;

/**
 * A registered process that must have loaded a version before its data centre acknowledges it.
 *
 * @param incarnation incarnation of the process
 * @param registeredAt wall-clock time of its registration
 */
public record Voter(Incarnation incarnation, Instant registeredAt) {}
