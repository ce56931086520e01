package org.lycheetray.edge.backend;

import java.util.function.Consumer;

/** One attempt to run a request on a backend server; its callback is called once, or never if it is cancelled. */
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

    boolean isDone() {
        return callback == null;
    }

    void markSent() {
        sent = true;
    }

    void onCancel(Runnable action) {
        onCancel = action;
    }

    void complete(AttemptResult result) {
        Consumer<AttemptResult> c = callback;
        callback = null;
        if (c != null) {
            c.accept(result);
        }
    }

    /**
     * Returns whether bytes of the request may have reached the server.
     *
     * @return true once the request has been handed to a connection for writing
     */
    public boolean isSent() {
        return sent;
    }

    /** Cancels the attempt and closes its connection, so that the server can detect the cancellation. */
    public void cancel() {
        if (callback != null) {
            callback = null;
            onCancel.run();
        }
    }
}
