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
final class Lender {
    private final RateSharesOptions options;
    private final Bucket bucket;
    private final Map<LoanId, LentLoan> loans = new HashMap<>();
    private RateShare share;
    private RateShare lent = RateShare.NONE;

    Lender(RateSharesOptions options, RateShare share, long tokens, MonotonicTime now) {
        this.options = options;
        this.share = share;
        this.bucket = new Bucket(share.rate(), share.burst(), tokens, now);
    }

    Bucket bucket() {
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
        for (Iterator<LentLoan> i = loans.values().iterator(); i.hasNext(); ) {
            LentLoan loan = i.next();
            if (loan.isLapsed(now)) {
                i.remove();
                changed |= loan.isOut();
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

    boolean hasOverhang() {
        return lent.rate() > share.rate() || lent.burst() > share.burst();
    }

    Optional<LoanMessage.Answer> alreadyAnswered(LoanId id) {
        return Optional.ofNullable(loans.get(id)).map(l -> l.answer);
    }

    void lend(VmName borrower, LoanMessage.Answer answer, MonotonicTime now) {
        bucket.take(answer.tokens());
        loans.put(answer.id(), new LentLoan(borrower, answer, now.plus(options.rest())));
        resize();
    }

    void takeBack(LoanId id, long tokens) {
        LentLoan loan = loans.get(id);
        if (loan == null || !loan.isOut()) {
            return;
        }
        loan.returned();
        resize();
        bucket.add(Math.min(tokens, loan.answer.share().burst()));
    }

    boolean extend(LoanId id, MonotonicTime now) {
        LentLoan loan = loans.get(id);
        if (loan == null || !loan.isOut() || hasOverhang()) {
            return false;
        }
        loan.extendTo(now.plus(options.rest()));
        return true;
    }

    Optional<VmName> largestBorrower(VmName except) {
        return loans.values().stream()
                .filter(l -> l.isOut() && !l.borrower.equals(except))
                .max(Comparator.comparingLong(l -> l.answer.share().burst()))
                .map(l -> l.borrower);
    }

    /** The latest point at which all that is lent will be back. */
    Optional<MonotonicTime> allBackAt() {
        return loans.values().stream()
                .filter(LentLoan::isOut)
                .map(LentLoan::lapse)
                .max(Comparator.naturalOrder());
    }

    private void resize() {
        lent = loans.values().stream()
                .filter(LentLoan::isOut)
                .map(l -> l.answer.share())
                .reduce(RateShare.NONE, RateShare::plus);
        bucket.resize(Math.max(0, share.rate() - lent.rate()), Math.max(0, share.burst() - lent.burst()));
    }
}
