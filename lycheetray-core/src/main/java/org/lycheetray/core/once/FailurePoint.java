package org.lycheetray.core.once;

import java.util.Arrays;
import java.util.Locale;
import java.util.stream.Collectors;
import org.lycheetray.core.model.Outcome;

/**
 * Every point at which a request can fail, and what is proved there.
 *
 * <p>This is the one place that decides whether a failure may be called {@code not-run}. {@code docs/OUTCOMES.md} holds
 * the same table, written by {@link #markdown()}.
 */
public enum FailurePoint {
    /** The VM has no configuration yet. */
    NOT_CONFIGURED(503, Proof.NOT_SENT, Next.REFUSE, "this VM has not learnt a configuration yet"),
    /** No route matches host and path. */
    UNKNOWN_ROUTE(404, Proof.NOT_SENT, Next.REFUSE, "no route of the manifest matches"),
    /** The route needs a key and none came. */
    NO_KEY(401, Proof.NOT_SENT, Next.REFUSE, "the route needs a key and none came"),
    /** The key is not valid, or no longer. */
    UNKNOWN_KEY(401, Proof.NOT_SENT, Next.REFUSE, "the key is unknown or withdrawn"),
    /** The key stood in a place that backend servers would see. */
    KEY_EXPOSED(400, Proof.NOT_SENT, Next.REFUSE, "the key stood where backend servers would see it"),
    /** This VM is cut off from the configuration for too long to trust keys. */
    STALE_CONFIG(503, Proof.NOT_SENT, Next.REFUSE, "this VM cannot tell whether the key is still valid"),
    /** A {@code once} route needs an Idempotency-Key header. */
    NO_IDEMPOTENCY_KEY(400, Proof.NOT_SENT, Next.REFUSE, "the route needs an Idempotency-Key"),
    /** A header of the request has an impossible value. */
    BAD_HEADER(400, Proof.NOT_SENT, Next.REFUSE, "a header has an impossible value"),
    /** The body is larger than the manifest allows. */
    BODY_TOO_LARGE(413, Proof.NOT_SENT, Next.REFUSE, "the body is larger than the manifest allows"),
    /** The client account is over its rate and burst. */
    OVER_RATE(429, Proof.NOT_SENT, Next.REFUSE, "the client account's rate and burst are used up"),
    /** Requests like this one have crashed backend servers. */
    QUARANTINED(503, Proof.NOT_SENT, Next.REFUSE, "the request was in flight as backend servers crashed"),
    /** This VM is leaving. */
    LEAVING(503, Proof.NOT_SENT, Next.REFUSE, "this VM is being stopped and takes nothing new"),
    /** The idempotency key was used for another request. */
    KEY_REUSED(422, Proof.NOT_SENT, Next.REFUSE, "the idempotency key belongs to a request with other content"),
    /** The idempotency key is older than the horizon within which keys are remembered. */
    KEY_EXPIRED(409, Proof.NONE, Next.REFUSE, "the idempotency key is older than the horizon of claims"),
    /** The table service does not answer. */
    CLAIM_STORE_DOWN(503, Proof.NOT_SENT, Next.REFUSE, "the key cannot be claimed while the store is down"),
    /** The claim was not confirmed in time. */
    CLAIM_NOT_IN_TIME(503, Proof.NOT_SENT, Next.REFUSE, "the claim was not confirmed before the deadline"),
    /** The VM keeps too many claims. */
    CLAIMS_FULL(503, Proof.NOT_SENT, Next.REFUSE, "this VM keeps as many claims as it may"),
    /** The sending that this one joined has not run. */
    JOINED_NOT_RUN(503, Proof.NOT_SENT, Next.REFUSE, "the sending that this one joined has not run"),
    /** An earlier attempt with this idempotency key may have run. */
    EARLIER_ATTEMPT(409, Proof.NONE, Next.REFUSE, "an earlier sending holds the key and its end is not known"),
    /** An earlier sending ran, but its answer is not at hand. */
    ANSWER_NOT_KEPT(409, Proof.NONE, Next.REFUSE, "an earlier sending has run and its answer is not at hand"),
    /** The deadline passed before dispatch. */
    DEADLINE_BEFORE_DISPATCH(
            504, Proof.NOT_SENT, Next.REFUSE, "the deadline passed before dispatch, or the process was paused past it"),
    /** No backend server had room before the deadline. */
    NO_CAPACITY(503, Proof.NOT_SENT, Next.ANOTHER_SERVER, "no backend server had room before the deadline"),
    /** No connection to the backend server could be made. */
    BACKEND_UNREACHABLE(502, Proof.NOT_SENT, Next.ANOTHER_SERVER, "no connection could be made, so nothing was sent"),
    /** The backend server said that it did not take the request. */
    SHED(503, Proof.DECLARED, Next.ANOTHER_SERVER, "the backend server shed the request and said so"),
    /** The connection ended without a whole answer. */
    BACKEND_FAILED(502, Proof.NONE, Next.ANOTHER_SERVER_IF_SAFE, "the connection ended without a whole answer"),
    /** The answer belongs to another request. */
    ANSWER_INVALID(502, Proof.NONE, Next.ANOTHER_SERVER_IF_SAFE, "the answer belongs to another request"),
    /** The deadline passed after dispatch. */
    DEADLINE(504, Proof.NONE, Next.REFUSE, "no whole answer came before the deadline"),
    /** A fault of the system itself after the request may have been sent. */
    INTERNAL(500, Proof.NONE, Next.REFUSE, "an internal error");

    /** What shows that an attempt did not run. */
    public enum Proof {
        /** Nothing was sent to any backend server. */
        NOT_SENT,
        /** The backend server declared that it did not take the request. */
        DECLARED,
        /** Nothing shows it. */
        NONE
    }

    /** What may be tried after the failure. */
    public enum Next {
        /** Nothing: the caller is told. */
        REFUSE,
        /** Another backend server may be tried, for every class. */
        ANOTHER_SERVER,
        /** Another backend server may be tried for {@code read} and {@code queue}, never for {@code once}. */
        ANOTHER_SERVER_IF_SAFE
    }

    private final int status;
    private final Proof proof;
    private final Next next;
    private final String detail;

    FailurePoint(int status, Proof proof, Next next, String detail) {
        this.status = status;
        this.proof = proof;
        this.next = next;
        this.detail = detail;
    }

    /**
     * Gives the HTTP status of the refusal.
     *
     * @return a status from 400 to 504
     */
    public int status() {
        return status;
    }

    /**
     * Tells what shows that the attempt did not run.
     *
     * @return the proof
     */
    public Proof proof() {
        return proof;
    }

    /**
     * Tells what may be tried next.
     *
     * @return the permission
     */
    public Next next() {
        return next;
    }

    /**
     * Explains the failure to people.
     *
     * @return a clause without a full stop
     */
    public String detail() {
        return detail;
    }

    /**
     * Gives the value of {@code reason} in refusals, metrics and the ledger.
     *
     * @return a hyphenated word
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Classifies the failed attempt by itself.
     *
     * @return {@link Outcome#NOT_RUN} where that is proved, otherwise {@link Outcome#UNKNOWN}
     */
    public Outcome outcome() {
        return proof == Proof.NONE ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    /**
     * Writes the table of all points in Markdown.
     *
     * @return lines that end in newlines
     */
    public static String markdown() {
        String head = "| reason | status | outcome | proof | next | meaning |\n|---|---|---|---|---|---|\n";
        return Arrays.stream(values()).map(FailurePoint::markdownRow).collect(Collectors.joining("", head, ""));
    }

    private String markdownRow() {
        return String.format(
                Locale.ROOT,
                "| `%s` | %d | `%s` | %s | %s | %s |%n",
                label(),
                status,
                outcome().label(),
                words(proof),
                words(next),
                detail);
    }

    private static String words(Enum<?> e) {
        return e.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
}
