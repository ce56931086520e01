package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** A loan as its borrower sees it. */
final class HeldLoan {
    final LoanId id;
    final VmName lender;
    final Bucket bucket;
    final MonotonicTime received;
    private MonotonicTime lapse;
    private long extensionNumber;
    private MonotonicTime extensionSent;

    HeldLoan(LoanId id, VmName lender, Bucket bucket, MonotonicTime received, MonotonicTime lapse) {
        this.id = id;
        this.lender = lender;
        this.bucket = bucket;
        this.received = received;
        this.lapse = lapse;
        this.extensionSent = received;
    }

    MonotonicTime lapse() {
        return lapse;
    }

    boolean isLapsed(MonotonicTime now) {
        return !now.isBefore(lapse);
    }

    boolean isExtensionDue(MonotonicTime now, Duration before, Duration pause) {
        return lapse.since(now).compareTo(before) < 0
                && now.since(extensionSent).compareTo(pause) >= 0;
    }

    long extend(MonotonicTime now) {
        extensionSent = now;
        return ++extensionNumber;
    }

    /** Counts the new period from when the extension was sent; only the latest extension counts. */
    void extended(long number, Duration period) {
        if (number == extensionNumber && lapse.isBefore(extensionSent.plus(period))) {
            lapse = extensionSent.plus(period);
        }
    }
}
