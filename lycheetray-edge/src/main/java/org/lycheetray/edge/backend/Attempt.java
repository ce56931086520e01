package org.lycheetray.edge.backend;

import java.util.function.Consumer;

/** One attempt at a backend server; its result is given once, or never if it is cancelled. */
public final class Attempt {
    private final OutgoingRequest request;
    private Consumer<AttemptResult> callback;
    private Runnable onCancel = () -> {};
    private boolean sent;

    Attempt(OutgoingRequest request, Consumer<AttemptResult> callback) {
        this.request = request;
        this.callback = callback;
    }

    OutgoingRequest request() {
        return request;
    }

    boolean isOver() {
        return callback == null;
    }

    void sent() {
        sent = true;
    }

    void onCancel(Runnable action) {
        onCancel = action;
    }

    void end(AttemptResult result) {
        Consumer<AttemptResult> c = callback;
        callback = null;
        if (c != null) {
            c.accept(result);
        }
    }

    /**
     * Tells whether bytes of the request may have reached the server.
     *
     * @return true once it was written to a connection
     */
    public boolean isSent() {
        return sent;
    }

    /** Gives the attempt up: its connection is closed, by which the server learns of it. */
    public void cancel() {
        if (callback != null) {
            callback = null;
            onCancel.run();
        }
    }
}
