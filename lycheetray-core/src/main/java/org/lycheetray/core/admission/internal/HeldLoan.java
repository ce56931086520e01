package org.lycheetray.core.admission.internal;

import java.time.Duration;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/** State of a loan at the VM that holds it. */
final class HeldLoan {
    final LoanId id;
    final VmName lender;
    final TokenBucket bucket;
    final MonotonicTime receivedAt;
    private MonotonicTime expiry;
    private long extensionNumber;
    private MonotonicTime extensionSentAt;

    HeldLoan(LoanId id, VmName lender, TokenBucket bucket, MonotonicTime receivedAt, MonotonicTime expiry) {
        this.id = id;
        this.lender = lender;
        this.bucket = bucket;
        this.receivedAt = receivedAt;
        this.expiry = expiry;
        this.extensionSentAt = receivedAt;
    }

    MonotonicTime expiry() {
        return expiry;
    }

    boolean isExpired(MonotonicTime now) {
        return !now.isBefore(expiry);
    }

    boolean isExtensionDue(MonotonicTime now, Duration before, Duration retryInterval) {
        return expiry.since(now).compareTo(before) < 0
                && now.since(extensionSentAt).compareTo(retryInterval) >= 0;
    }

    long startExtension(MonotonicTime now) {
        extensionSentAt = now;
        return ++extensionNumber;
    }

    /** Extends the loan from the time at which the extension was requested. Ignores all but the latest extension. */
    void confirmExtension(long number, Duration period) {
        if (number == extensionNumber && expiry.isBefore(extensionSentAt.plus(period))) {
            expiry = extensionSentAt.plus(period);
        }
    }
}
