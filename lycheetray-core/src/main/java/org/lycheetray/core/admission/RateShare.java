package org.lycheetray.core.admission;

import org.lycheetray.core.model.Rate;

/**
 * A share of a client account's rate and burst, in micro-tokens so that the shares add up exactly.
 *
 * @param rate micro-tokens per second
 * @param burst micro-tokens
 */
public record RateShare(long rate, long burst) {
    /** Micro-tokens per token. A token admits one request. */
    public static final long TOKEN = 1_000_000;

    /** The empty share. */
    public static final RateShare NONE = new RateShare(0, 0);

    /**
     * Returns the share that consists of a whole rate and burst.
     *
     * @param rate rate and burst in tokens
     * @return the share in micro-tokens
     */
    public static RateShare of(Rate rate) {
        return new RateShare(Math.multiplyExact(rate.perSecond(), TOKEN), Math.multiplyExact(rate.burst(), TOKEN));
    }

    /**
     * Returns the sum of this share and another one.
     *
     * @param o the other share
     * @return the sum
     */
    public RateShare plus(RateShare o) {
        return new RateShare(rate + o.rate, burst + o.burst);
    }

    /**
     * Returns a share with the lower rate and the lower burst of two shares.
     *
     * @param o the other share
     * @return the component-wise minimum
     */
    public RateShare min(RateShare o) {
        return new RateShare(Math.min(rate, o.rate), Math.min(burst, o.burst));
    }
}
