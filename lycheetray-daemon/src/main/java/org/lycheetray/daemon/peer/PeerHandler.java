package org.lycheetray.daemon.peer;

import org.lycheetray.core.model.Incarnation;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.publisher.Mono;

/** Handles one type of request from peers. */
@FunctionalInterface
public interface PeerHandler {
    /**
     * Handles a request. Called on a Netty event loop and must not block.
     *
     * @param from the authenticated incarnation of the peer
     * @param request the request
     * @return the reply; an error signal is sent to the peer as a failure reply
     */
    Mono<Reply> handle(Incarnation from, Request request);
}
