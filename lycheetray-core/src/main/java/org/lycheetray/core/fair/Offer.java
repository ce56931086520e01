package org.lycheetray.core.fair;

/**
 * What became of a request that was offered to a {@link FairQueue}.
 *
 * @param <T> type of the waiting requests
 */
public sealed interface Offer<T> {
    /**
     * The request waits.
     *
     * @param ticket names the waiting request, for {@link FairQueue#cancel}
     * @param <T> type of the waiting requests
     */
    record Queued<T>(Ticket<T> ticket) implements Offer<T> {}

    /**
     * The request waits in the place of another one, which must now be refused as not run.
     *
     * @param ticket names the waiting request
     * @param displaced newest request of the client account that held most of the queue for its weight
     * @param <T> type of the waiting requests
     */
    record Displaced<T>(Ticket<T> ticket, Ticket<T> displaced) implements Offer<T> {}

    /**
     * The request does not wait and must be refused as not run.
     *
     * @param reason why there is no place for it
     * @param <T> type of the waiting requests
     */
    record Refused<T>(Reason reason) implements Offer<T> {}

    /** Why a request may not wait. */
    enum Reason {
        /** The client account has as many requests waiting as it may have. */
        ACCOUNT_FULL,
        /** The queue is full and no other client account holds more of it. */
        QUEUE_FULL,
        /** The request's deadline has passed. */
        DEADLINE_PASSED
    }
}
