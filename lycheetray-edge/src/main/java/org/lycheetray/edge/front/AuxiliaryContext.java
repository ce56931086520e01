package org.lycheetray.edge.front;

import java.util.function.Supplier;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.edge.MemoryBudget;

/**
 * The collaborators that all connections for readiness, look-ups and metrics share.
 *
 * @param limits supplies the limits in force
 * @param budget limit of the memory for requests
 * @param clock source of the current time
 */
public record AuxiliaryContext(Supplier<ClientLimits> limits, MemoryBudget budget, Clock clock) {}
