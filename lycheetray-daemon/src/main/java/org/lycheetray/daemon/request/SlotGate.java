package org.lycheetray.daemon.request;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import reactor.core.publisher.Mono;

/** Chooses a backend server for a request and limits the concurrent requests of each server to its slots. */
@FunctionalInterface
public interface SlotGate {
    /** Result of acquiring a slot. */
    sealed interface Decision {
        /**
         * A slot was reserved.
         *
         * @param slot the slot; must be released
         */
        record Granted(Slot slot) implements Decision {}

        /**
         * No slot became free before the deadline.
         *
         * @param detail explanation for the caller
         * @param retryAfter time after which a retry may succeed, or empty
         */
        record Refused(String detail, Optional<Duration> retryAfter) implements Decision {}
    }

    /** A reserved slot of a backend server. */
    interface Slot {
        /**
         * Returns the chosen server.
         *
         * @return the backend server
         */
        BackendServer server();

        /**
         * Returns why this server was chosen, for the ledger and the command {@code explain}.
         *
         * @return short description
         */
        String reason();

        /**
         * Releases the slot; further calls have no effect.
         *
         * @param result result of the attempt
         */
        void release(AttemptResult result);
    }

    /**
     * Reserves a slot, waiting for one at most until the request's deadline. Cancelling the subscription releases it.
     *
     * @param request the request
     * @param tried servers that must not be chosen, such as those of failed attempts
     * @return the decision
     */
    Mono<Decision> acquire(RequestContext request, Set<BackendServerName> tried);
}
