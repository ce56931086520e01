package org.lycheetray.core.admission.internal;

import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** A loan as its lender sees it; remembered until it lapses, so that a doubled message changes nothing. */
final class LentLoan {
    final VmName borrower;
    final LoanMessage.Answer answer;
    private MonotonicTime lapse;
    private boolean returned;

    LentLoan(VmName borrower, LoanMessage.Answer answer, MonotonicTime lapse) {
        this.borrower = borrower;
        this.answer = answer;
        this.lapse = lapse;
    }

    boolean isOut() {
        return !returned;
    }

    boolean isLapsed(MonotonicTime now) {
        return !now.isBefore(lapse);
    }

    MonotonicTime lapse() {
        return lapse;
    }

    void returned() {
        returned = true;
    }

    void extendTo(MonotonicTime later) {
        if (lapse.isBefore(later)) {
            lapse = later;
        }
    }
}
