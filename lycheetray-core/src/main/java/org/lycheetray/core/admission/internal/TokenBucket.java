package org.lycheetray.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A token bucket in micro-tokens with changeable rate and capacity. Rounding never yields more tokens than have
 * accrued.
 */
public final class TokenBucket {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MICROS_PER_SECOND = TimeUnit.SECONDS.toMicros(1);

    private long rate;
    private long capacity;
    private long tokens;
    private long remainder;
    private long refilledAt;

    /**
     * Creates a bucket.
     *
     * @param rate micro-tokens per second
     * @param capacity maximum of micro-tokens
     * @param tokens initial micro-tokens
     * @param now current time
     */
    public TokenBucket(long rate, long capacity, long tokens, MonotonicTime now) {
        this.rate = rate;
        this.capacity = capacity;
        this.tokens = Math.min(tokens, capacity);
        this.refilledAt = now.nanos();
    }

    /**
     * Adds the tokens that have accrued since the last call.
     *
     * @param now current time
     */
    public void refill(MonotonicTime now) {
        long micros = (now.nanos() - refilledAt) / NANOS_PER_MICRO;
        if (micros <= 0) {
            return;
        }
        refilledAt += micros * NANOS_PER_MICRO;
        if (rate == 0 || tokens >= capacity) {
            remainder = 0;
            return;
        }
        if (micros >= microsToFill()) {
            tokens = capacity;
            remainder = 0;
            return;
        }
        long partial = rate * (micros % MICROS_PER_SECOND) + remainder;
        long accrued = rate * (micros / MICROS_PER_SECOND) + partial / MICROS_PER_SECOND;
        tokens = Math.min(capacity, tokens + accrued);
        remainder = partial % MICROS_PER_SECOND;
    }

    private long microsToFill() {
        long missing = capacity - tokens;
        return missing / rate * MICROS_PER_SECOND + Math.ceilDiv(missing % rate * MICROS_PER_SECOND, rate);
    }

    /**
     * Changes rate and capacity without adding tokens.
     *
     * @param newRate micro-tokens per second
     * @param newCapacity maximum of micro-tokens; tokens in excess of it are discarded
     */
    public void resize(long newRate, long newCapacity) {
        rate = newRate;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Adds tokens taken from another bucket.
     *
     * @param amount micro-tokens; tokens in excess of the capacity are discarded
     */
    public void add(long amount) {
        tokens = Math.min(capacity, tokens + amount);
    }

    /**
     * Takes up to the given amount of tokens.
     *
     * @param amount micro-tokens requested
     * @return micro-tokens taken, fewer than requested if the bucket has less
     */
    public long take(long amount) {
        long taken = Math.min(amount, tokens);
        tokens -= taken;
        return taken;
    }

    /**
     * Returns the present rate.
     *
     * @return micro-tokens per second
     */
    public long rate() {
        return rate;
    }

    /**
     * Returns the present capacity.
     *
     * @return micro-tokens
     */
    public long capacity() {
        return capacity;
    }

    /**
     * Returns the tokens as of the last refill.
     *
     * @return micro-tokens
     */
    public long tokens() {
        return tokens;
    }
}
