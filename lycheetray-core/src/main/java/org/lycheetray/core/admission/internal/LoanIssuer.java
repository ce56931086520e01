package org.lycheetray.core.admission.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateLimiterOptions;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Base share of this VM in one client account, and the loans granted from it.
 *
 * <p>Lent amounts are deducted from the bucket before the answer is sent, and added again when the holder returns the
 * loan or when the loan has expired for certain. Rate and capacity of the bucket are the share less the loans, but not
 * negative, so that bucket and loans together do not exceed the share. The only exception is a lowered share: loans
 * granted earlier may exceed it until they expire, and no loan is extended meanwhile.
 */
final class LoanIssuer {
    private final RateLimiterOptions options;
    private final TokenBucket bucket;
    private final Map<LoanId, IssuedLoan> loans = new HashMap<>();
    private RateShare share;
    private RateShare lent = RateShare.NONE;

    LoanIssuer(RateLimiterOptions options, RateShare share, long tokens, MonotonicTime now) {
        this.options = options;
        this.share = share;
        this.bucket = new TokenBucket(share.rate(), share.burst(), tokens, now);
    }

    TokenBucket bucket() {
        return bucket;
    }

    RateShare share() {
        return share;
    }

    int loanCount() {
        return loans.size();
    }

    void refresh(MonotonicTime now) {
        bucket.refill(now);
        boolean changed = false;
        for (Iterator<IssuedLoan> i = loans.values().iterator(); i.hasNext(); ) {
            IssuedLoan loan = i.next();
            if (loan.isExpired(now)) {
                i.remove();
                changed |= loan.isOutstanding();
            }
        }
        if (changed) {
            resize();
        }
    }

    void setShare(RateShare s) {
        share = s;
        resize();
    }

    boolean hasExcessLoans() {
        return lent.rate() > share.rate() || lent.burst() > share.burst();
    }

    Optional<LoanMessage.Answer> earlierAnswer(LoanId id) {
        return Optional.ofNullable(loans.get(id)).map(l -> l.answer);
    }

    void lend(VmName borrower, LoanMessage.Answer answer, MonotonicTime now) {
        bucket.take(answer.tokens());
        loans.put(answer.id(), new IssuedLoan(borrower, answer, now.plus(options.maxLoanLifetime())));
        resize();
    }

    void acceptReturn(LoanId id, long tokens) {
        IssuedLoan loan = loans.get(id);
        if (loan == null || !loan.isOutstanding()) {
            return;
        }
        loan.markReturned();
        resize();
        bucket.add(Math.min(tokens, loan.answer.share().burst()));
    }

    boolean extend(LoanId id, MonotonicTime now) {
        IssuedLoan loan = loans.get(id);
        if (loan == null || !loan.isOutstanding() || hasExcessLoans()) {
            return false;
        }
        loan.extendTo(now.plus(options.maxLoanLifetime()));
        return true;
    }

    Optional<VmName> largestBorrower(VmName except) {
        return loans.values().stream()
                .filter(l -> l.isOutstanding() && !l.borrower.equals(except))
                .max(Comparator.comparingLong(l -> l.answer.share().burst()))
                .map(l -> l.borrower);
    }

    /** Returns the time at which the last outstanding loan expires. */
    Optional<MonotonicTime> latestExpiry() {
        return loans.values().stream()
                .filter(IssuedLoan::isOutstanding)
                .map(IssuedLoan::expiry)
                .max(Comparator.naturalOrder());
    }

    private void resize() {
        lent = loans.values().stream()
                .filter(IssuedLoan::isOutstanding)
                .map(l -> l.answer.share())
                .reduce(RateShare.NONE, RateShare::plus);
        bucket.resize(Math.max(0, share.rate() - lent.rate()), Math.max(0, share.burst() - lent.burst()));
    }
}
