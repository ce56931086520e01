package org.lycheetray.core.fair;

import java.util.List;
import java.util.Optional;

/**
 * Result of {@link FairQueue#take}.
 *
 * @param next the request to run, or empty if no request waits
 * @param expired requests whose deadline passed while they waited; the caller must refuse each as not run
 * @param <T> type of the waiting requests
 */
public record Selection<T>(Optional<Ticket<T>> next, List<Ticket<T>> expired) {
    /** Creates a result with an immutable copy of the list. */
    public Selection {
        expired = List.copyOf(expired);
    }
}
