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
     * Loan holder to issuer: requests a new loan.
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
     * Issuer to loan holder: answers a request with the amounts lent, which may be zero.
     *
     * @param id id of the request
     * @param account client account
     * @param share rate and burst lent
     * @param tokens micro-tokens lent, at most the burst lent
     * @param spare micro-tokens that the issuer could lend in addition
     * @param largestBorrower VM with the largest loan from the issuer, a candidate for the next request
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
     * Loan holder to issuer: requests an extension of a loan by another loan period.
     *
     * @param id id of the loan
     * @param account client account
     * @param number sequence number of the extension, assigned by the loan holder
     */
    record Extend(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Issuer to loan holder: confirms an extension. The new loan period starts at the time at which {@link Extend} was
     * sent.
     *
     * @param id id of the loan
     * @param account client account
     * @param number sequence number of the {@link Extend}
     */
    record Extended(LoanId id, ClientAccountName account, long number) implements LoanMessage {}

    /**
     * Loan holder to issuer: returns a loan that the loan holder no longer uses.
     *
     * @param id id of the loan
     * @param account client account
     * @param tokens unused micro-tokens, which go back to the issuer
     */
    record Return(LoanId id, ClientAccountName account, long tokens) implements LoanMessage {}
}
