package org.lycheetray.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import reactor.core.publisher.Mono;

/** Chooses a backend server and keeps every server within its slots. */
@FunctionalInterface
public interface SlotGate {
    /** What was decided. */
    sealed interface Decision {
        /**
         * A slot is reserved.
         *
         * @param slot the slot, to be released once
         */
        record Granted(Slot slot) implements Decision {}

        /**
         * Nowhere was there room before the deadline.
         *
         * @param detail what was tried
         * @param retryAfter time after which a retry makes sense, or empty
         */
        record Refused(String detail, Optional<Duration> retryAfter) implements Decision {}
    }

    /** A reserved slot of a backend server. */
    interface Slot {
        /**
         * The server that was chosen.
         *
         * @return the backend server
         */
        BackendServer server();

        /**
         * Why this server was chosen, for the ledger and for {@code explain}.
         *
         * @return short text
         */
        String reason();

        /**
         * Gives the slot back; further calls have no effect.
         *
         * @param result how the attempt ended
         */
        void release(AttemptResult result);
    }

    /**
     * Reserves a slot; may wait until the request's deadline. Cancelling the subscription gives the slot back.
     *
     * @param request the request
     * @param tried servers that have failed for it
     * @return the decision
     */
    Mono<Decision> acquire(RequestContext request, Set<BackendServerName> tried);
}
