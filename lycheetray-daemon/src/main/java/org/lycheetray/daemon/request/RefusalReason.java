package org.lycheetray.daemon.request;

import java.util.Locale;
import org.lycheetray.core.model.Outcome;

/** Why a request was refused, with the HTTP status and the outcome that the refusal states. */
public enum RefusalReason {
    /** The VM has no configuration yet. */
    NOT_CONFIGURED(503, Outcome.NOT_RUN),
    /** No route matches host and path. */
    UNKNOWN_ROUTE(404, Outcome.NOT_RUN),
    /** The route needs a key and none came. */
    NO_KEY(401, Outcome.NOT_RUN),
    /** The key is not valid, or no longer. */
    UNKNOWN_KEY(401, Outcome.NOT_RUN),
    /** The key stood in a place that backend servers would see. */
    KEY_EXPOSED(400, Outcome.NOT_RUN),
    /** This VM is cut off from the configuration for too long to trust keys. */
    STALE_CONFIG(503, Outcome.NOT_RUN),
    /** A {@code once} route needs an Idempotency-Key header. */
    NO_IDEMPOTENCY_KEY(400, Outcome.NOT_RUN),
    /** A header of the request has an impossible value. */
    BAD_HEADER(400, Outcome.NOT_RUN),
    /** The body is larger than the manifest allows. */
    BODY_TOO_LARGE(413, Outcome.NOT_RUN),
    /** The client account is over its rate and burst. */
    OVER_RATE(429, Outcome.NOT_RUN),
    /** The idempotency key was used for another request. */
    KEY_REUSED(422, Outcome.NOT_RUN),
    /** The idempotency key is older than the horizon within which keys are remembered. */
    KEY_EXPIRED(409, Outcome.NOT_RUN),
    /** No claim could be made, so the request was not started. */
    CLAIM_UNAVAILABLE(503, Outcome.NOT_RUN),
    /** An earlier attempt with this idempotency key may have run. */
    EARLIER_ATTEMPT(409, Outcome.UNKNOWN),
    /** Requests like this one have crashed backend servers. */
    QUARANTINED(503, Outcome.NOT_RUN),
    /** No backend server had room before the deadline. */
    NO_CAPACITY(503, Outcome.NOT_RUN),
    /** This VM is leaving. */
    LEAVING(503, Outcome.NOT_RUN),
    /** Every attempt failed before a backend server ran the request. */
    BACKEND_UNREACHABLE(502, Outcome.NOT_RUN),
    /** A backend server may have run the request but no whole answer came. */
    BACKEND_FAILED(502, Outcome.UNKNOWN),
    /** The deadline passed after the request had been sent to a backend server. */
    DEADLINE(504, Outcome.UNKNOWN),
    /** A fault of the system itself after the request may have been sent. */
    INTERNAL(500, Outcome.UNKNOWN);

    private final int status;
    private final Outcome outcome;

    RefusalReason(int status, Outcome outcome) {
        this.status = status;
        this.outcome = outcome;
    }

    /**
     * The HTTP status of the refusal.
     *
     * @return a status from 400
     */
    public int status() {
        return status;
    }

    /**
     * What the refusal says about the request.
     *
     * @return never {@link Outcome#ANSWERED}
     */
    public Outcome outcome() {
        return outcome;
    }

    /**
     * The name used in answers, metrics and reports.
     *
     * @return lower-case, hyphenated
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
