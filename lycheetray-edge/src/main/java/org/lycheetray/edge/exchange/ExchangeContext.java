package org.lycheetray.edge.exchange;

import io.netty.channel.EventLoop;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.dialect.CallerDialect;
import org.lycheetray.edge.relay.ServerAccess;

/**
 * The collaborators that all exchanges share.
 *
 * @param steering the VM's routing state and decisions
 * @param backends sends requests to backend servers
 * @param callers headers exchanged with callers
 * @param servers headers exchanged with backend servers
 * @param observer receives each finished request
 * @param clock source of the current time
 * @param loop event loop on which all exchanges run
 */
public record ExchangeContext(
        TrafficSteering steering,
        ServerAccess backends,
        CallerDialect callers,
        BackendDialect servers,
        ExchangeObserver observer,
        Clock clock,
        EventLoop loop) {}
