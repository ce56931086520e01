package org.lycheetray.daemon.peer;

import java.io.Serial;

/** Thrown when a request to a peer fails; the message names the failed step and the peer. */
public final class PeerException extends RuntimeException {
    @Serial
    private static final long serialVersionUID = 1;

    private final boolean sent;

    /**
     * Creates an exception without a stack trace.
     *
     * @param step the step that failed
     * @param peer name or address of the peer
     * @param sent false only if the peer cannot have received the request
     * @param detail description of the error
     */
    public PeerException(String step, String peer, boolean sent, String detail) {
        super("step=" + step + " peer=" + peer + ": " + detail, null, false, false);
        this.sent = sent;
    }

    /**
     * Returns whether the peer may have received, and so may have handled, the request.
     *
     * @return false only if the peer cannot have received the request
     */
    public boolean mayHaveArrived() {
        return sent;
    }
}
