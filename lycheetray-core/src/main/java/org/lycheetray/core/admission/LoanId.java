package org.lycheetray.core.admission;

import org.lycheetray.core.model.Incarnation;

/**
 * Names a loan for good: no process uses a number twice, and a later process of the same VM is another incarnation.
 *
 * @param borrower process that asked for the loan
 * @param number number that the borrower counts up
 */
public record LoanId(Incarnation borrower, long number) {
    @Override
    public String toString() {
        return borrower + "/" + number;
    }
}
