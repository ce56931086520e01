package org.lycheetray.core.admission.internal;

import java.util.function.Predicate;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.RateLimiterOptions;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

/** State shared by the rate limiters of all client accounts at this VM. */
public final class VmContext {
    private final Incarnation localVm;
    private final RateLimiterOptions options;
    private final Predicate<VmName> reachable;
    private long lastNumber;

    /**
     * Creates the context.
     *
     * @param incarnation incarnation of this process
     * @param options options of the rate limiter
     * @param reachable tests whether messages can be sent to a VM
     */
    public VmContext(Incarnation incarnation, RateLimiterOptions options, Predicate<VmName> reachable) {
        this.localVm = incarnation;
        this.options = options;
        this.reachable = reachable;
    }

    RateLimiterOptions options() {
        return options;
    }

    boolean isReachable(VmName vm) {
        return reachable.test(vm);
    }

    LoanId nextLoanId() {
        return new LoanId(localVm, nextNumber());
    }

    long nextNumber() {
        return ++lastNumber;
    }
}
