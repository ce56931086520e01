package org.lycheetray.core.admission;

import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;

/**
 * Message between VMs about a loan of rate and burst.
 *
 * <p>Messages may be lost, duplicated, delayed or reordered; the rates and bursts in use over the fleet still stay
 * within the total of the account. Amounts are micro-tokens and micro-tokens per second.
 */
public sealed interface LoanMessage {
    /**
     * Returns the loan that the message is about.
     *
     * @return the loan id
     */
    LoanId id();

    /**
     * Returns the client account whose rate is lent.
     *
     * @return the account name
     */
    ClientAccountName account();

    /**
     * Borrower to lender: requests a new loan.
     *
     * @param id id that the loan will have if it is granted
     * @param account client account
     * @param tokens micro-tokens requested
     * @param rate micro-tokens per second requested
     * @param urgent true if requests are waiting for the tokens, false for a prefetch
     */
    record Request(LoanId id, ClientAccountName account, long tokens, long rate, boolean urgent)
            implements LoanMessage {}

    /**
     * Lender to borrower: answers a request with the amounts lent, which may be zero.
     *
     * @param id id of the request
     * @param account client account
     * @param share rate and burst lent
     * @param tokens micro-tokens lent, at most the burst lent
     * @param spare micro-tokens that the lender could lend in addition
     * @param largestBorrower VM with the largest loan from the lender, a candidate for the next request
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
     * Borrower to lender: requests an extension of a loan by another loan period.
     *
     * @param id id of the loan
     * @param account client account
     * @param number sequence number of the extension, assigned by the borrower
     */
    record Extend(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Lender to borrower: confirms an extension. The new loan period starts at the time at which {@link Extend} was
     * sent.
     *
     * @param id id of the loan
     * @param account client account
     * @param number sequence number of the {@link Extend}
     */
    record Extended(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Borrower to lender: returns a loan that the borrower no longer uses.
     *
     * @param id id of the loan
     * @param account client account
     * @param tokens unused micro-tokens, which go back to the lender
     */
    record Return(LoanId id, ClientAccountName account, long tokens) implements LoanMessage {}
}
