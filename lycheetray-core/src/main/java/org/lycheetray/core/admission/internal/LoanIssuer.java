package org.lycheetray.core.admission.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.admission.RateSharesOptions;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A VM's base share of one client account: what it owns, less what it has lent.
 *
 * <p>Whatever is lent leaves the base bucket before the answer goes out and comes back when the borrower returns it, or
 * when the loan has lapsed for certain. Rate and capacity of the bucket are the share less the loans, never negative, so
 * bucket and loans together never exceed the share. The exception is an overhang after the share was lowered: then loans
 * granted before may exceed it until they lapse, and none is extended.
 */
final class LoanIssuer {
    private final RateSharesOptions options;
    private final TokenBucket bucket;
    private final Map<LoanId, IssuedLoan> loans = new HashMap<>();
    private RateShare share;
    private RateShare lent = RateShare.NONE;

    LoanIssuer(RateSharesOptions options, RateShare share, long tokens, MonotonicTime now) {
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

    void removeExpired(MonotonicTime now) {
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
        loans.put(answer.id(), new IssuedLoan(borrower, answer, now.plus(options.rest())));
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
        loan.extendTo(now.plus(options.rest()));
        return true;
    }

    Optional<VmName> largestBorrower(VmName except) {
        return loans.values().stream()
                .filter(l -> l.isOutstanding() && !l.borrower.equals(except))
                .max(Comparator.comparingLong(l -> l.answer.share().burst()))
                .map(l -> l.borrower);
    }

    /** The latest point at which all that is lent will be back. */
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
