package org.lycheetray.daemon.peer;

import org.lycheetray.core.model.Incarnation;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;

/** Answers one kind of request from peers. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request; called on an event loop.
     *
     * @param from the peer's process, authenticated
     * @param request the request
     * @return the reply
     */
    Mono<Reply> handle(Incarnation from, Request request);
}
