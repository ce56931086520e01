package org.lycheetray.core.admission.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The loans that this VM has borrowed for one client account, ordered by expiry.
 *
 * <p>Tokens are spent in that order, so that few are lost when a loan expires.
 */
final class LoanHolder {
    private final List<HeldLoan> loans = new ArrayList<>();

    void refresh(MonotonicTime now) {
        for (Iterator<HeldLoan> i = loans.iterator(); i.hasNext(); ) {
            HeldLoan loan = i.next();
            if (loan.isExpired(now)) {
                i.remove();
            } else {
                loan.bucket.refill(now);
            }
        }
    }

    void add(HeldLoan loan) {
        loans.add(loan);
        sortByExpiry();
    }

    void sortByExpiry() {
        loans.sort(Comparator.comparing(HeldLoan::expiry));
    }

    void remove(HeldLoan loan) {
        loans.remove(loan);
    }

    Optional<HeldLoan> find(LoanId id) {
        return loans.stream().filter(l -> l.id.equals(id)).findFirst();
    }

    List<HeldLoan> loans() {
        return List.copyOf(loans);
    }

    int count() {
        return loans.size();
    }

    long tokens() {
        long sum = 0;
        for (HeldLoan loan : loans) {
            sum += loan.bucket.tokens();
        }
        return sum;
    }

    long rate() {
        long sum = 0;
        for (HeldLoan loan : loans) {
            sum += loan.bucket.rate();
        }
        return sum;
    }

    long capacity() {
        long sum = 0;
        for (HeldLoan loan : loans) {
            sum += loan.bucket.capacity();
        }
        return sum;
    }

    long take(long amount) {
        long taken = 0;
        for (HeldLoan loan : loans) {
            taken += loan.bucket.take(amount - taken);
        }
        return taken;
    }
}
