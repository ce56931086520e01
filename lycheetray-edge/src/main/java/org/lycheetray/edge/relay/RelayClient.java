package org.lycheetray.edge.relay;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.Clock;
import org.lycheetray.edge.MemoryBudget;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.backend.Attempt;
import org.lycheetray.edge.backend.AttemptResult;
import org.lycheetray.protocol.generated.RelayRequest;

/**
 * Asks other VMs to send requests to backend servers, over pooled connections that carry one request at a time.
 *
 * <p>A request that was handed to a connection may have run if the connection ends. Not thread-safe: used on the event loop
 * only.
 */
public final class RelayClient {
    /** Connect timeout: several round trips between regions. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(400);

    private final Bootstrap bootstrap;
    private final String localHost;
    private final MemoryBudget budget;
    private final Clock clock;
    private final Map<VmName, Pool> pools = new HashMap<>();

    /** Connections to one incarnation of a VM. */
    private static final class Pool {
        private final FleetMember member;
        private final ArrayDeque<RelayConnection> idle = new ArrayDeque<>();
        private int inProgress;

        Pool(FleetMember member) {
            this.member = member;
        }
    }

    /**
     * Creates a client without connections.
     *
     * @param transport provides the sockets
     * @param localHost address of the local VM, from which connections are opened
     * @param budget limit of the memory for answers
     * @param clock used to measure idle times
     */
    public RelayClient(Transport transport, String localHost, MemoryBudget budget, Clock clock) {
        this.localHost = localHost;
        this.bootstrap = transport.clientBootstrap(CONNECT_TIMEOUT);
        this.budget = budget;
        this.clock = clock;
    }

    /** Returns the number of requests in progress through a VM. */
    int inProgress(VmName vm) {
        Pool p = pools.get(vm);
        return p == null ? 0 : p.inProgress;
    }

    /**
     * Asks a VM to send a request.
     *
     * @param relay the VM
     * @param server the server to send to
     * @param head the message, without its body
     * @param attempt the attempt that ends with the result; {@code NO_PATH} if nothing reached the VM
     * @param events receives what the server says apart from the result
     */
    void send(FleetMember relay, RegisteredServer server, RelayRequest head, Attempt attempt, RelayEvents events) {
        Pool pool = poolFor(relay);
        pool.inProgress++;
        Attempt counted = new Attempt(attempt.request(), result -> {
            pool.inProgress--;
            attempt.complete(result);
        });
        RelayConnection.Sending sending = new RelayConnection.Sending(server, head, attempt, counted, events);
        attempt.onCancel(() -> {
            pool.inProgress--;
            counted.cancel();
        });
        RelayConnection c = pool.idle.pollLast();
        while (c != null && !c.isReusable()) {
            c.close();
            c = pool.idle.pollLast();
        }
        if (c != null) {
            c.send(sending);
        } else {
            connect(pool, sending);
        }
    }

    private Pool poolFor(FleetMember relay) {
        Pool p = pools.get(relay.vm());
        if (p == null || !p.member.equals(relay)) {
            if (p != null) {
                p.idle.forEach(RelayConnection::close);
            }
            p = new Pool(relay);
            pools.put(relay.vm(), p);
        }
        return p;
    }

    private void connect(Pool pool, RelayConnection.Sending sending) {
        AtomicReference<RelayConnection> holder = new AtomicReference<>();
        ChannelFuture f = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel ch) {
                        RelayFrames.addHandlers(ch.pipeline());
                        holder.set(new RelayConnection(ch, budget, clock, () -> pool.idle.addLast(holder.get())));
                        ch.pipeline().addLast(holder.get());
                    }
                })
                .connect(
                        new InetSocketAddress(
                                pool.member.reportEndpoint().host(),
                                pool.member.reportEndpoint().port()),
                        // The other VM accepts requests from the address of the report endpoint only.
                        new InetSocketAddress(localHost, 0));
        sending.counted().onCancel(() -> {
            var _ = f.channel().close();
        });
        var _ = f.channel().closeFuture().addListener(c -> pool.idle.remove(holder.get()));
        var _ = f.addListener(c -> {
            if (!c.isSuccess()) {
                sending.counted().complete(new AttemptResult.NotRun(AttemptResult.NotRunReason.NO_PATH));
            } else if (!sending.counted().isDone()) {
                holder.get().send(sending);
            }
        });
    }
}
