package org.lycheetray.core.once;

import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RouteClass;

/**
 * Tracks the attempts of one request and determines its provable outcome.
 *
 * <p>A request starts as {@code not-run}. Dispatching an attempt makes it {@code unknown} until the backend server
 * declares that it did not run the request. A failure point whose proof is that nothing was sent is accepted only for
 * an attempt that was not dispatched.
 */
public final class RequestOutcome {
    private final RouteClass routeClass;
    private int attemptsInFlight;
    private int attemptsInDoubt;
    private boolean answerStarted;
    private boolean answered;

    /**
     * Creates the outcome of a request that has not been dispatched.
     *
     * @param routeClass class of its route
     */
    public RequestOutcome(RouteClass routeClass) {
        this.routeClass = routeClass;
    }

    /**
     * Records that an attempt is dispatched. Must be called before the first byte is written to a backend server.
     *
     * @throws IllegalStateException if a {@code once} request may have run already
     */
    public void recordDispatch() {
        if (routeClass == RouteClass.ONCE && (attemptsInFlight > 0 || attemptsInDoubt > 0)) {
            throw new IllegalStateException("a request that may have run is not dispatched again");
        }
        attemptsInFlight++;
    }

    /** Records that a part of the answer was sent to the caller, so that no further attempt is possible. */
    public void recordAnswerStarted() {
        answerStarted = true;
    }

    /** Records that the complete answer was received. */
    public void recordAnswer() {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
        answered = true;
    }

    /**
     * Records the failure of an attempt that was not dispatched.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean recordFailureBeforeDispatch(FailurePoint point) {
        return canTryAnother(point, point.proof() != FailurePoint.Proof.NONE);
    }

    /**
     * Reverts {@link #recordDispatch()}, for an attempt that failed before any byte of it left this process.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean revertDispatch(FailurePoint point) {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
        return recordFailureBeforeDispatch(point);
    }

    /**
     * Records the failure of an attempt that was dispatched.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean recordFailureAfterDispatch(FailurePoint point) {
        attemptsInFlight = Math.max(0, attemptsInFlight - 1);
        boolean proved = point.proof() == FailurePoint.Proof.DECLARED;
        if (!proved) {
            attemptsInDoubt++;
        }
        return canTryAnother(point, proved);
    }

    /**
     * Returns the outcome that is currently proved.
     *
     * @return {@link Outcome#ANSWERED} once the complete answer was received, {@link Outcome#NOT_RUN} while no attempt
     *     can have run, otherwise {@link Outcome#UNKNOWN}
     */
    public Outcome outcome() {
        if (answered) {
            return Outcome.ANSWERED;
        }
        return attemptsInFlight == 0 && attemptsInDoubt == 0 ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    /**
     * Returns the outcome that a refusal at a failure point must report.
     *
     * @param point where the request failed last
     * @return {@link Outcome#NOT_RUN} only if this is proved for all attempts
     */
    public Outcome outcomeAfter(FailurePoint point) {
        boolean unproved = point.proof() == FailurePoint.Proof.NONE || outcome() != Outcome.NOT_RUN;
        return unproved ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private boolean canTryAnother(FailurePoint point, boolean proved) {
        if (answerStarted || answered) {
            return false;
        }
        return switch (point.retryPolicy()) {
            case REFUSE -> false;
            case ANOTHER_SERVER -> routeClass != RouteClass.ONCE || (proved && attemptsInDoubt == 0);
            case ANOTHER_SERVER_IF_SAFE -> routeClass != RouteClass.ONCE;
        };
    }
}
