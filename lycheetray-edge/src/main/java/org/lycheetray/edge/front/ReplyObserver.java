package org.lycheetray.edge.front;

/** Receives the replies that did not reach their caller, for logs and metrics. */
public interface ReplyObserver {
    /** Reasons why a reply did not reach its caller. */
    enum Cause {
        /** The caller closed the connection, or it was lost. */
        CALLER_GONE,
        /** The connection ended with the reply to an earlier request. */
        CONNECTION_CLOSED,
        /** The VM stopped while the reply waited for an earlier one or for the caller to read. */
        STOPPED
    }

    /**
     * Records that a reply was not delivered.
     *
     * @param requestId request identifier assigned by the caller, may be empty
     * @param status HTTP status of the reply
     * @param cause why it was not delivered
     */
    void replyNotDelivered(String requestId, int status, Cause cause);

    /**
     * Records that a connection is closed because of an unexpected error.
     *
     * @param error the error
     */
    void connectionFailed(Throwable error);
}
