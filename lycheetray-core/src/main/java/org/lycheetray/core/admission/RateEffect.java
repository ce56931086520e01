package org.lycheetray.core.admission;

import org.lycheetray.core.model.VmName;

/** What the daemon must do after {@link RateShares} changed its state. */
public sealed interface RateEffect {
    /**
     * Send a message; it may be lost.
     *
     * @param to receiver
     * @param message the message
     */
    record Send(VmName to, LoanMessage message) implements RateEffect {}

    /**
     * Let a waiting request go on, or refuse it.
     *
     * @param ticket the ticket of {@link RateDecision.Waiting}
     * @param decision admitted or refused, never waiting
     */
    record Decided(long ticket, RateDecision decision) implements RateEffect {}
}
