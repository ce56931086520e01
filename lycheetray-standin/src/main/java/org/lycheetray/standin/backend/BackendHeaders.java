package org.lycheetray.standin.backend;

/** Headers exchanged with backend servers. */
final class BackendHeaders {
    /** Identity of the request, echoed on the answer. */
    static final String REQUEST_ID = "Lycheetray-Request-Id";

    /** Client account for which the request runs. */
    static final String ACCOUNT = "Lycheetray-Account";

    /** Milliseconds left until the answer is of no use. */
    static final String DEADLINE_MS = "Lycheetray-Deadline-Ms";

    /** Names a request that must run at most once. */
    static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** On a 503: the request has not been started and will not be. */
    static final String NOT_RUN = "Lycheetray-Not-Run";

    private BackendHeaders() {}
}
