package org.lycheetray.standin.backend;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Set;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** The slots of one server and a short queue before them. */
final class SlotQueue {
    private final int slots;
    private final int queueLimit;
    private final Set<Ticket> running = new HashSet<>();
    private final Set<Ticket> waiting = new LinkedHashSet<>();
    private int peak;

    SlotQueue(int slots, int queueLimit) {
        this.slots = slots;
        this.queueLimit = queueLimit;
    }

    /** Enters a request; false if it is refused because the queue is full. */
    synchronized boolean tryEnter(Ticket t) {
        if (running.size() < slots) {
            start(t);
            return true;
        }
        if (waiting.size() >= queueLimit) {
            return false;
        }
        waiting.add(t);
        peak = Math.max(peak, running.size() + waiting.size());
        return true;
    }

    /** Lets a request go, whether it waits or runs; harmless if it is gone. */
    synchronized void leave(Ticket t) {
        waiting.remove(t);
        if (running.remove(t) && !waiting.isEmpty()) {
            Ticket next = waiting.iterator().next();
            waiting.remove(next);
            start(next);
        }
    }

    synchronized Load load() {
        return new Load(running.size(), waiting.size(), slots, peak);
    }

    private void start(Ticket t) {
        running.add(t);
        peak = Math.max(peak, running.size() + waiting.size());
        t.started.tryEmitEmpty();
    }

    /** A request's place. */
    static final class Ticket {
        private final Sinks.Empty<Void> started = Sinks.empty();

        Mono<Void> started() {
            return started.asMono();
        }
    }

    /**
     * What a server does at one time.
     *
     * @param running requests in slots
     * @param waiting requests in the queue
     * @param slots number of slots
     * @param peak most requests that were in slots and queue together
     */
    record Load(int running, int waiting, int slots, int peak) {}
}
