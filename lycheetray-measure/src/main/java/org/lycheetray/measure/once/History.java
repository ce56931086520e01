package org.lycheetray.measure.once;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.Outcome;

/** What happened in one run, as callers and backend servers saw it. */
public final class History {
    private final List<Sent> sent = new ArrayList<>();
    private final List<Execution> executions = new ArrayList<>();
    private final List<Told> told = new ArrayList<>();

    /**
     * A request that a caller sent.
     *
     * @param request unique id of the sending
     * @param key idempotency key
     * @param content what it asks for
     */
    public record Sent(String request, String key, String content) {}

    /**
     * A backend server began to run a request.
     *
     * @param request id of the sending that was forwarded
     * @param key idempotency key
     * @param answer unique text that its answer carries
     */
    public record Execution(String request, String key, String answer) {}

    /**
     * What a caller was told.
     *
     * @param request id of the sending
     * @param outcome outcome
     * @param answer text of the answer's body, empty for a refusal
     * @param excused true if the connection or the process that served the caller died, so that it was told nothing
     */
    public record Told(String request, Outcome outcome, String answer, boolean excused) {}

    /**
     * Adds a sending.
     *
     * @param s the sending
     */
    public synchronized void add(Sent s) {
        sent.add(s);
    }

    /**
     * Adds an execution.
     *
     * @param e the execution
     */
    public synchronized void add(Execution e) {
        executions.add(e);
    }

    /**
     * Adds what a caller was told.
     *
     * @param t outcome and answer
     */
    public synchronized void add(Told t) {
        told.add(t);
    }

    /**
     * Gives the sendings.
     *
     * @return a copy in order
     */
    public synchronized List<Sent> sent() {
        return List.copyOf(sent);
    }

    /**
     * Gives the executions.
     *
     * @return a copy in order
     */
    public synchronized List<Execution> executions() {
        return List.copyOf(executions);
    }

    /**
     * Gives what callers were told.
     *
     * @return a copy in order
     */
    public synchronized List<Told> told() {
        return List.copyOf(told);
    }
}
