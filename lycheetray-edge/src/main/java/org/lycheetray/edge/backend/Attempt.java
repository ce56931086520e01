package org.lycheetray.edge.backend;

import java.util.Optional;
import java.util.function.Consumer;
import org.lycheetray.core.model.VmName;

/** One attempt to run a request on a backend server; its callback is called once, or never if it is cancelled. */
public final class Attempt {
    private final OutgoingRequest request;
    private Consumer<AttemptResult> callback;
    private Runnable onCancel = () -> {};
    private Runnable onSent = () -> {};
    private boolean sent;
    private Optional<VmName> relay = Optional.empty();

    /**
     * Creates an attempt that has not begun.
     *
     * @param request the request
     * @param callback called with the result
     */
    public Attempt(OutgoingRequest request, Consumer<AttemptResult> callback) {
        this.request = request;
        this.callback = callback;
    }

    /**
     * Returns the request.
     *
     * @return the request as it is to be sent
     */
    public OutgoingRequest request() {
        return request;
    }

    /**
     * Returns whether the attempt has ended.
     *
     * @return true once it is complete or cancelled
     */
    public boolean isDone() {
        return callback == null;
    }

    /** Records that bytes of the request may reach the server from now on. */
    public void markSent() {
        sent = true;
        onSent.run();
    }

    /**
     * Sets what is called once bytes of the request may reach the server.
     *
     * @param action the action
     */
    public void onSent(Runnable action) {
        onSent = action;
    }

    /**
     * Sets what ends the attempt when it is cancelled.
     *
     * @param action replaces the previous one
     */
    public void onCancel(Runnable action) {
        onCancel = action;
    }

    /**
     * Records that another VM sends the request to the server.
     *
     * @param vm the other VM
     */
    public void setRelay(VmName vm) {
        relay = Optional.of(vm);
    }

    /**
     * Returns the VM that sends the request to the server in place of the local VM.
     *
     * @return the other VM, or empty if the local VM sends it itself
     */
    public Optional<VmName> relay() {
        return relay;
    }

    /**
     * Ends the attempt with a result, unless it has ended.
     *
     * @param result the result
     */
    public void complete(AttemptResult result) {
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
