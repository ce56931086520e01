package org.lycheetray.core.admission;

import org.lycheetray.core.model.VmName;

/** Action that the caller of {@link DistributedRateLimiter} must perform. */
public sealed interface RateEffect {
    /**
     * Send a message to another VM. Delivery need not be reliable.
     *
     * @param to VM that receives the message
     * @param message the message
     */
    record Send(VmName to, LoanMessage message) implements RateEffect {}

    /**
     * Admit or refuse a waiting request.
     *
     * @param ticket the ticket of {@link RateDecision.Waiting}
     * @param decision admitted or refused, never {@link RateDecision.Waiting}
     */
    record Decided(long ticket, RateDecision decision) implements RateEffect {}
}
