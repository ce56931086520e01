package org.lycheetray.edge.front;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.edge.exchange.Exchanges;

/**
 * What callers' connections use.
 *
 * @param exchanges runs requests
 * @param limits gives the limits in force
 * @param leaving true once connections are to end after their present requests
 * @param budget memory for request bodies
 * @param clock the clock
 */
public record FrontParts(
        Exchanges exchanges, Supplier<ClientLimits> limits, BooleanSupplier leaving, BodyBudget budget, Clock clock) {}
