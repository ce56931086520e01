package org.lycheetray.core.admission.internal;

import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** State of a loan at the VM that issued it. Kept until the loan expires, so that duplicate messages have no effect. */
final class IssuedLoan {
    final VmName borrower;
    final LoanMessage.Answer answer;
    private MonotonicTime expiry;
    private boolean returned;

    IssuedLoan(VmName borrower, LoanMessage.Answer answer, MonotonicTime expiry) {
        this.borrower = borrower;
        this.answer = answer;
        this.expiry = expiry;
    }

    boolean isOutstanding() {
        return !returned;
    }

    boolean isExpired(MonotonicTime now) {
        return !now.isBefore(expiry);
    }

    MonotonicTime expiry() {
        return expiry;
    }

    void markReturned() {
        returned = true;
    }

    void extendTo(MonotonicTime later) {
        if (expiry.isBefore(later)) {
            expiry = later;
        }
    }
}
