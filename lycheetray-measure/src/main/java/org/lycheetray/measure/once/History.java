package org.lycheetray.measure.once;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.model.Outcome;

/** What happened in one run, as callers and backend servers saw it. */
public final class History {
    private final List<Event> events = new ArrayList<>();

    /** Something that happened. */
    public sealed interface Event {}

    /**
     * A request that a caller sent.
     *
     * @param request unique id of the sending
     * @param key idempotency key
     * @param content what it asks for
     */
    public record Sent(String request, String key, String content) implements Event {}

    /**
     * A backend server began to run a request.
     *
     * @param request id of the sending that was forwarded
     * @param key idempotency key
     * @param answer unique text that its answer carries
     */
    public record Execution(String request, String key, String answer) implements Event {}

    /**
     * What a caller was told.
     *
     * @param request id of the sending
     * @param outcome outcome
     * @param answer text of the answer's body, empty for a refusal
     * @param excused true if the connection or the process that served the caller died, so that it was told nothing
     */
    public record Told(String request, Outcome outcome, String answer, boolean excused) implements Event {}

    /**
     * Adds an event.
     *
     * @param e what happened
     */
    public synchronized void add(Event e) {
        events.add(e);
    }

    /**
     * Gives all events.
     *
     * @return a copy in order
     */
    public synchronized List<Event> events() {
        return List.copyOf(events);
    }

    /**
     * Gives the events of one kind.
     *
     * @param <E> the kind
     * @param kind its class
     * @return a copy in order
     */
    public <E extends Event> List<E> events(Class<E> kind) {
        return events().stream().filter(kind::isInstance).map(kind::cast).toList();
    }
}
