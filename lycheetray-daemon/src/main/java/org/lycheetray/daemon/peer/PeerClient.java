package org.lycheetray.daemon.peer;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;

/** Sends requests to one peer. Connects on first use and reconnects after the connection is lost. */
final class PeerClient {
    private final Function<Endpoint, Mono<PeerSession>> connector;
    private final Endpoint address;
    private Mono<PeerSession> pendingSession;
    private PeerSession establishedSession;

    PeerClient(Function<Endpoint, Mono<PeerSession>> connector, Endpoint address) {
        this.connector = connector;
        this.address = address;
    }

    Mono<Reply> call(Request request, Duration timeout) {
        return session()
                .timeout(timeout)
                .onErrorMap(e -> new PeerException("connect", address.toString(), false, String.valueOf(e)))
                .flatMap(s -> s.call(request, timeout));
    }

    synchronized Optional<Incarnation> connectedIncarnation() {
        return Optional.ofNullable(establishedSession)
                .filter(PeerSession::isOpen)
                .map(PeerSession::authenticatedPeer);
    }

    void probe(Request ping, Duration timeout, Duration silenceTimeout) {
        PeerSession s = openSession();
        if (s == null) {
            return;
        }
        if (s.timeSinceLastFrame().compareTo(silenceTimeout) > 0) {
            LogEvent.of("peer-silent")
                    .with("step", "probe")
                    .with("peer", address)
                    .warn();
            s.close("silent");
            return;
        }
        s.call(ping, timeout).subscribe(reply -> {}, e -> {});
    }

    void close() {
        PeerSession s = openSession();
        if (s != null) {
            s.close("closing");
        }
    }

    private synchronized PeerSession openSession() {
        return establishedSession != null && establishedSession.isOpen() ? establishedSession : null;
    }

    private synchronized Mono<PeerSession> session() {
        if (establishedSession != null && establishedSession.isOpen()) {
            return Mono.just(establishedSession);
        }
        if (pendingSession == null) {
            pendingSession = connector
                    .apply(address)
                    .timeout(PeerNetwork.CONNECT_TIMEOUT)
                    .doOnNext(this::setEstablished)
                    .doOnError(e -> clearPending())
                    .cache();
        }
        return pendingSession;
    }

    private synchronized void setEstablished(PeerSession s) {
        establishedSession = s;
        pendingSession = null;
    }

    private synchronized void clearPending() {
        pendingSession = null;
    }
}
