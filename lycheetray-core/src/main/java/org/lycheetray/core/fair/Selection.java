package org.lycheetray.core.fair;

import java.util.List;
import java.util.Optional;

/**
 * Result of one {@link FairQueue#take}.
 *
 * @param next the request to run, empty if none waits
 * @param expired requests whose deadline passed while they waited; each must be refused as not run
 * @param <T> type of the waiting requests
 */
public record Selection<T>(Optional<Ticket<T>> next, List<Ticket<T>> expired) {
    /** Copies the list. */
    public Selection {
        expired = List.copyOf(expired);
    }
}
