package org.lycheetray.core.fair;

/**
 * Result of {@link FairQueue#offer}.
 *
 * @param <T> type of the waiting requests
 */
public sealed interface OfferResult<T> {
    /**
     * The request was queued.
     *
     * @param ticket identifies the waiting request, for {@link FairQueue#cancel}
     * @param <T> type of the waiting requests
     */
    record Queued<T>(Ticket<T> ticket) implements OfferResult<T> {}

    /**
     * The request was queued in place of another one, which the caller must refuse as not run.
     *
     * @param ticket identifies the waiting request
     * @param displaced newest request of the client account that used most of the queue in relation to its weight
     * @param <T> type of the waiting requests
     */
    record Displaced<T>(Ticket<T> ticket, Ticket<T> displaced) implements OfferResult<T> {}

    /**
     * The request was not queued; the caller must refuse it as not run.
     *
     * @param reason reason of the refusal
     * @param <T> type of the waiting requests
     */
    record Refused<T>(Reason reason) implements OfferResult<T> {}

    /** Reason why a request was not queued. */
    enum Reason {
        /** The client account has reached its limit of waiting requests. */
        ACCOUNT_FULL,
        /** The queue is full and no other client account uses more of it in relation to its weight. */
        QUEUE_FULL,
        /** The request's deadline has passed. */
        DEADLINE_PASSED
    }
}
