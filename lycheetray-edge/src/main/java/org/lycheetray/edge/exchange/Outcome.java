package org.lycheetray.edge.exchange;

/** How the edge itself ends a request for which it has no backend server's answer. */
public enum Outcome {
    /** The head cannot be served. */
    BAD_REQUEST(400, false),
    /** The key is missing or not valid. */
    NO_ACCOUNT(401, false),
    /** No route matches. */
    NO_ROUTE(404, false),
    /** The client account is over its rate; the request has not run. */
    OVER_RATE(429, true),
    /** No configuration is known yet; the request has not run. */
    NOT_CONFIGURED(503, true),
    /** The VM is leaving; the request has not run. */
    LEAVING(503, true),
    /** No backend server can take it; the request has not run. */
    NO_ROOM(503, true),
    /** It may have run, and its answer is lost. */
    UNKNOWN(502, false),
    /** Its time is over, and it may have run. */
    TIMED_OUT(504, false);

    private final int status;
    private final boolean notRun;

    Outcome(int status, boolean notRun) {
        this.status = status;
        this.notRun = notRun;
    }

    /**
     * The status that callers get.
     *
     * @return an HTTP status
     */
    public int status() {
        return status;
    }

    /**
     * Tells whether this promises that the request has not run and never will.
     *
     * @return true if it does
     */
    public boolean isNotRun() {
        return notRun;
    }
}
