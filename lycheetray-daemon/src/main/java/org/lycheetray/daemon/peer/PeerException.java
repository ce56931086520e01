package org.lycheetray.daemon.peer;

import java.io.Serial;

/** A request to a peer failed; carries the step and the peer. */
public final class PeerException extends RuntimeException {
    @Serial
    private static final long serialVersionUID = 1;

    private final boolean sent;

    /**
     * Creates an error without a stack trace.
     *
     * @param step what was being done
     * @param peer name or address of the peer
     * @param sent false if the peer certainly did not get the request
     * @param detail what went wrong
     */
    public PeerException(String step, String peer, boolean sent, String detail) {
        super("step=" + step + " peer=" + peer + ": " + detail, null, false, false);
        this.sent = sent;
    }

    /**
     * Tells whether the peer may have handled the request.
     *
     * @return false if it certainly did not get it
     */
    public boolean mayHaveArrived() {
        return sent;
    }
}
