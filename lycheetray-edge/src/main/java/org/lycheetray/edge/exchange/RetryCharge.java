package org.lycheetray.edge.exchange;

import org.lycheetray.core.allowance.FleetRetryBudget;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The charge of one request's next attempt to the retry budget.
 *
 * <p>It is paid when the attempt is sent. A retry may wait for a server long after it was decided on, and would
 * otherwise be counted in an earlier window than that in which it arrives. Not thread-safe.
 */
final class RetryCharge {
    private final FleetRetryBudget budget;
    private final ServiceName service;
    private boolean required;

    /**
     * Creates a charge for a first attempt, which is free.
     *
     * @param budget the retry budget
     * @param service service of the request
     */
    RetryCharge(FleetRetryBudget budget, ServiceName service) {
        this.budget = budget;
        this.service = service;
    }

    /**
     * Requires the next attempt to be paid for, because an earlier one may have arrived.
     *
     * @param now current time
     * @return false if the budget allows no retry now
     */
    boolean tryRequire(MonotonicTime now) {
        boolean allowed = budget.allowsRetry(service, now);
        required |= allowed;
        return allowed;
    }

    /**
     * Pays for an attempt that is being sent, if required. The payment stays valid for further attempts until one of
     * them may have arrived.
     *
     * @param now current time
     * @return false if the attempt must not be sent, because the budget has been used up since
     */
    boolean tryPay(MonotonicTime now) {
        boolean allowed = !required || budget.tryAcquireRetry(service, now);
        required &= !allowed;
        return allowed;
    }
}
