package org.lycheetray.edge.exchange;

import io.netty.channel.EventLoop;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.backend.BackendClient;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.dialect.CallerDialect;

/**
 * What every exchange uses.
 *
 * @param steering beliefs and decisions
 * @param backends sends requests
 * @param callers how callers are spoken to
 * @param servers how backend servers are spoken to
 * @param observer takes each finished request
 * @param clock the clock
 * @param loop the event loop
 */
public record ExchangeParts(
        Steering steering,
        BackendClient backends,
        CallerDialect callers,
        BackendDialect servers,
        ExchangeObserver observer,
        Clock clock,
        EventLoop loop) {}
