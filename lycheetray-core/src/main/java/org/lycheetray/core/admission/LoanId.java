package org.lycheetray.core.admission;

import org.lycheetray.core.model.Incarnation;

/**
 * Globally unique identifier of a loan. A process never reuses a number, and a restarted process of the same VM has
 * another incarnation.
 *
 * @param borrower process that requested the loan
 * @param number sequence number assigned by that process
 */
public record LoanId(Incarnation borrower, long number) {
    @Override
    public String toString() {
        return borrower + "/" + number;
    }
}
