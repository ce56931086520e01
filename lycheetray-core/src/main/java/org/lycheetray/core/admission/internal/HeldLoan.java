package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** A loan as its borrower sees it. */
final class HeldLoan {
    final LoanId id;
    final VmName lender;
    final TokenBucket bucket;
    final MonotonicTime receivedAt;
    private MonotonicTime expiry;
    private long extensionNumber;
    private MonotonicTime extensionSentAt;

    HeldLoan(LoanId id, VmName lender, TokenBucket bucket, MonotonicTime received, MonotonicTime lapse) {
        this.id = id;
        this.lender = lender;
        this.bucket = bucket;
        this.receivedAt = received;
        this.expiry = lapse;
        this.extensionSentAt = received;
    }

    MonotonicTime expiry() {
        return expiry;
    }

    boolean isExpired(MonotonicTime now) {
        return !now.isBefore(expiry);
    }

    boolean isExtensionDue(MonotonicTime now, Duration before, Duration pause) {
        return expiry.since(now).compareTo(before) < 0
                && now.since(extensionSentAt).compareTo(pause) >= 0;
    }

    long startExtension(MonotonicTime now) {
        extensionSentAt = now;
        return ++extensionNumber;
    }

    /** Counts the new period from when the extension was sent; only the latest extension counts. */
    void confirmExtension(long number, Duration period) {
        if (number == extensionNumber && expiry.isBefore(extensionSentAt.plus(period))) {
            expiry = extensionSentAt.plus(period);
        }
    }
}
