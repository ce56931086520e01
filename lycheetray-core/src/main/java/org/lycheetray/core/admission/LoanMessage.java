package org.lycheetray.core.admission;

import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;

/**
 * What VMs say to each other about loans of rate and burst.
 *
 * <p>Any message may be lost, doubled, late or out of order; the sum over the fleet stays within the whole regardless.
 * Amounts are micro-tokens and micro-tokens per second.
 */
public sealed interface LoanMessage {
    /**
     * The loan that the message is about.
     *
     * @return its id
     */
    LoanId id();

    /**
     * The client account whose rate is lent.
     *
     * @return its name
     */
    ClientAccountName account();

    /**
     * Borrower to lender: asks for a new loan.
     *
     * @param id id of the loan if it is granted
     * @param account client account
     * @param tokens tokens wanted
     * @param rate rate wanted
     * @param urgent true if requests wait for the tokens, false if they are wanted ahead of need
     */
    record Request(LoanId id, ClientAccountName account, long tokens, long rate, boolean urgent)
            implements LoanMessage {}

    /**
     * Lender to borrower: what is lent, which may be nothing.
     *
     * @param id id of the request
     * @param account client account
     * @param share rate and burst lent
     * @param tokens tokens lent, at most the burst lent
     * @param spare tokens that the lender could still spare
     * @param largestBorrower VM that has borrowed most from the lender, worth asking instead
     */
    record Answer(
            LoanId id,
            ClientAccountName account,
            RateShare share,
            long tokens,
            long spare,
            Optional<VmName> largestBorrower)
            implements LoanMessage {}

    /**
     * Borrower to lender: asks to keep a loan for another period.
     *
     * @param id id of the loan
     * @param account client account
     * @param number number that the borrower counts up
     */
    record Extend(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Lender to borrower: the loan is extended, counted from when {@link Extend} was sent.
     *
     * @param id id of the loan
     * @param account client account
     * @param number number of the {@link Extend}
     */
    record Extended(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Borrower to lender: the borrower uses the loan no longer.
     *
     * @param id id of the loan
     * @param account client account
     * @param tokens tokens left, which the lender takes back
     */
    record Return(LoanId id, ClientAccountName account, long tokens) implements LoanMessage {}
}
