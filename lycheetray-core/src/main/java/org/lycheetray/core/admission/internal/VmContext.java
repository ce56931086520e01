package org.lycheetray.core.admission.internal;

import java.util.function.Predicate;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.RateSharesOptions;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

/** What the client accounts' states of one VM have in common. */
public final class VmContext {
    private final Incarnation localVm;
    private final RateSharesOptions options;
    private final Predicate<VmName> reachable;
    private long lastNumber;

    /**
     * Creates the context.
     *
     * @param self this process
     * @param options times
     * @param reachable tells whether it is of use to send to a VM
     */
    public VmContext(Incarnation self, RateSharesOptions options, Predicate<VmName> reachable) {
        this.localVm = self;
        this.options = options;
        this.reachable = reachable;
    }

    RateSharesOptions options() {
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
