package org.lycheetray.core.once;

import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RouteClass;

/**
 * Follows one request and says what is proved of it.
 *
 * <p>{@code not-run} is the starting point and can only be lost: an attempt that was dispatched takes it away until the
 * backend server declares that it did not take the request. A failure that claims that nothing was sent is believed
 * only while that attempt was not dispatched.
 */
public final class RequestOutcome {
    private final RouteClass routeClass;
    private int running;
    private int unsettled;
    private boolean passingOn;
    private boolean answered;

    /**
     * Starts with a request that was not dispatched.
     *
     * @param routeClass class of its route
     */
    public RequestOutcome(RouteClass routeClass) {
        this.routeClass = routeClass;
    }

    /**
     * Notes that bytes of an attempt may reach a backend server from now on; called before the first byte is written.
     *
     * @throws IllegalStateException if a {@code once} request may have run already
     */
    public void dispatched() {
        if (routeClass == RouteClass.ONCE && (running > 0 || unsettled > 0)) {
            throw new IllegalStateException("a request that may have run is not dispatched again");
        }
        running++;
    }

    /** Notes that a part of the answer has left for the caller, so that no other attempt can replace it. */
    public void passingOn() {
        passingOn = true;
    }

    /** Notes that the whole answer was received. */
    public void answered() {
        running = Math.max(0, running - 1);
        answered = true;
    }

    /**
     * Notes the failure of an attempt that was not dispatched.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean failedBeforeDispatch(FailurePoint point) {
        return mayTryAnother(point, point.proof() != FailurePoint.Proof.NONE);
    }

    /**
     * Takes back {@link #dispatched()}: the attempt ended while no byte of it had left this process.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean neverLeft(FailurePoint point) {
        running = Math.max(0, running - 1);
        return failedBeforeDispatch(point);
    }

    /**
     * Notes the failure of an attempt that was dispatched.
     *
     * @param point where it failed
     * @return true if another attempt is permitted
     */
    public boolean failedAfterDispatch(FailurePoint point) {
        running = Math.max(0, running - 1);
        boolean proved = point.proof() == FailurePoint.Proof.DECLARED;
        if (!proved) {
            unsettled++;
        }
        return mayTryAnother(point, proved);
    }

    /**
     * Gives what is proved at present.
     *
     * @return {@link Outcome#ANSWERED} once the whole answer was received, {@link Outcome#NOT_RUN} while no attempt may
     *     have run
     */
    public Outcome outcome() {
        if (answered) {
            return Outcome.ANSWERED;
        }
        return running == 0 && unsettled == 0 ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    }

    /**
     * Gives the outcome that a refusal may state at present.
     *
     * @param point where the request failed last
     * @return {@link Outcome#NOT_RUN} only if that is proved of all attempts
     */
    public Outcome outcomeAt(FailurePoint point) {
        boolean unproved = point.proof() == FailurePoint.Proof.NONE || outcome() != Outcome.NOT_RUN;
        return unproved ? Outcome.UNKNOWN : Outcome.NOT_RUN;
    }

    private boolean mayTryAnother(FailurePoint point, boolean proved) {
        if (passingOn || answered) {
            return false;
        }
        return switch (point.next()) {
            case REFUSE -> false;
            case ANOTHER_SERVER -> routeClass != RouteClass.ONCE || (proved && unsettled == 0);
            case ANOTHER_SERVER_IF_SAFE -> routeClass != RouteClass.ONCE;
        };
    }
}
