package org.lycheetray.edge.exchange;

/** Result of a request that the edge answers itself because it has no backend server's answer to deliver. */
public enum Outcome {
    /** The request has no identifier, or its target is not a path. */
    BAD_REQUEST(400, false),
    /** The account's key is missing or invalid. */
    NO_ACCOUNT(401, false),
    /** No route matches. */
    NO_ROUTE(404, false),
    /** The client account exceeds its rate limit; the request has not run. */
    OVER_RATE(429, true),
    /** No configuration is known yet; the request has not run. */
    NOT_CONFIGURED(503, true),
    /** The VM is leaving; the request has not run. */
    LEAVING(503, true),
    /** No backend server with free capacity is available; the request has not run. */
    NO_ROOM(503, true),
    /** The memory for requests is used up, or the client account's part of it; the request has not run. */
    NO_MEMORY(503, true),
    /** Too many connections have requests in progress; the request has not run. */
    NO_CONNECTION(503, true),
    /** Requests like this one have crashed backend servers; the request has not run. */
    QUARANTINED(503, true),
    /** The request may have run, but no valid answer arrived. */
    UNKNOWN(502, false),
    /** The VM stopped before an answer arrived; the request may have run. */
    INTERRUPTED(502, false),
    /** The deadline has passed; the request may have run. */
    TIMED_OUT(504, false);

    private final int status;
    private final boolean notRun;

    Outcome(int status, boolean notRun) {
        this.status = status;
        this.notRun = notRun;
    }

    /**
     * Returns the HTTP status sent to the caller.
     *
     * @return an HTTP status code
     */
    public int status() {
        return status;
    }

    /**
     * Returns whether the request is guaranteed not to have run and not to run later.
     *
     * @return true if the request will never run
     */
    public boolean isNotRun() {
        return notRun;
    }

    /**
     * Returns whether a status promises callers that the request has not run. An answer to a request that may have run
     * must not be delivered with such a status.
     *
     * @param status an HTTP status code
     * @return true if callers may send the request again, whatever its kind
     */
    static boolean promisesNotRun(int status) {
        return status == 429 || status == 503 || status == 408 || status == 421;
    }
}
