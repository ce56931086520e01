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

/** The connection to one peer, dialled when first needed and again after it was lost. */
final class PeerLink {
    private final Function<Endpoint, Mono<PeerSession>> dialler;
    private final Endpoint peer;
    private Mono<PeerSession> current;
    private PeerSession open;

    PeerLink(Function<Endpoint, Mono<PeerSession>> dialler, Endpoint peer) {
        this.dialler = dialler;
        this.peer = peer;
    }

    Mono<Reply> call(Request request, Duration timeout) {
        return session()
                .timeout(timeout)
                .onErrorMap(e -> new PeerException("connect", peer.toString(), false, String.valueOf(e)))
                .flatMap(s -> s.call(request, timeout));
    }

    synchronized Optional<Incarnation> connectedTo() {
        return Optional.ofNullable(open).filter(PeerSession::isOpen).map(PeerSession::provenPeer);
    }

    void probe(Request ping, Duration timeout, Duration silenceLimit) {
        PeerSession s = openSession();
        if (s == null) {
            return;
        }
        if (s.silentFor().compareTo(silenceLimit) > 0) {
            LogEvent.of("peer-silent").with("step", "probe").with("peer", peer).warn();
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
        return open != null && open.isOpen() ? open : null;
    }

    private synchronized Mono<PeerSession> session() {
        if (open != null && open.isOpen()) {
            return Mono.just(open);
        }
        if (current == null) {
            current = dialler.apply(peer)
                    .timeout(PeerNetwork.CONNECT_TIMEOUT)
                    .doOnNext(this::opened)
                    .doOnError(e -> dialEnded())
                    .cache();
        }
        return current;
    }

    private synchronized void opened(PeerSession s) {
        open = s;
        current = null;
    }

    private synchronized void dialEnded() {
        current = null;
    }
}
