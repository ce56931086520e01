package org.lycheetray.edge.front;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.traffic.ClientLimits;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.exchange.Exchanges;

/**
 * The collaborators that all callers' connections share.
 *
 * @param exchanges starts the exchange of each request
 * @param limits supplies the limits in force
 * @param leaving returns true once connections must be closed after the requests in progress
 * @param budget limit of the memory for requests and answers
 * @param observer receives the replies that were not delivered
 * @param clock source of the current time
 */
public record CallerConnectionContext(
        Exchanges exchanges,
        Supplier<ClientLimits> limits,
        BooleanSupplier leaving,
        MemoryBudget budget,
        ReplyObserver observer,
        Clock clock) {}
