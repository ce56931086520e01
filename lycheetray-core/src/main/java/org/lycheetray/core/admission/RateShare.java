package org.lycheetray.core.admission;

import org.lycheetray.core.model.Rate;

/**
 * A part of a client account's rate and burst, in millionths of a token so that parts add up exactly.
 *
 * @param rate micro-tokens per second
 * @param burst micro-tokens
 */
public record RateShare(long rate, long burst) {
    /** Micro-tokens in a token; a token admits one request. */
    public static final long TOKEN = 1_000_000;

    /** No share at all. */
    public static final RateShare NONE = new RateShare(0, 0);

    /**
     * Converts a whole rate.
     *
     * @param rate rate and burst in tokens
     * @return the same in micro-tokens
     */
    public static RateShare of(Rate rate) {
        return new RateShare(Math.multiplyExact(rate.perSecond(), TOKEN), Math.multiplyExact(rate.burst(), TOKEN));
    }

    /**
     * Adds another part.
     *
     * @param o the other part
     * @return the sum
     */
    public RateShare plus(RateShare o) {
        return new RateShare(rate + o.rate, burst + o.burst);
    }

    /**
     * Takes the lower rate and the lower burst of two parts.
     *
     * @param o the other part
     * @return the common part
     */
    public RateShare min(RateShare o) {
        return new RateShare(Math.min(rate, o.rate), Math.min(burst, o.burst));
    }
}
