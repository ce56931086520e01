package org.lycheetray.core.admission.internal;

import java.util.concurrent.TimeUnit;
import org.lycheetray.core.time.MonotonicTime;

/** A token bucket in micro-tokens whose rate and capacity may change; never rounds in favour of the caller. */
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
     * @param capacity micro-tokens at most
     * @param tokens micro-tokens at first
     * @param now present point
     */
    public TokenBucket(long rate, long capacity, long tokens, MonotonicTime now) {
        this.rate = rate;
        this.capacity = capacity;
        this.tokens = Math.min(tokens, capacity);
        this.refilledAt = now.nanos();
    }

    /**
     * Adds what has accrued since the last call.
     *
     * @param now present point
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
     * Changes rate and capacity; adds no tokens.
     *
     * @param newRate micro-tokens per second
     * @param newCapacity micro-tokens at most; tokens beyond it are lost
     */
    public void resize(long newRate, long newCapacity) {
        rate = newRate;
        capacity = newCapacity;
        tokens = Math.min(tokens, capacity);
    }

    /**
     * Adds tokens that another bucket gave up.
     *
     * @param amount micro-tokens; what does not fit is lost
     */
    public void add(long amount) {
        tokens = Math.min(capacity, tokens + amount);
    }

    /**
     * Takes tokens.
     *
     * @param amount micro-tokens wanted
     * @return micro-tokens taken, fewer if there are not so many
     */
    public long take(long amount) {
        long taken = Math.min(amount, tokens);
        tokens -= taken;
        return taken;
    }

    /**
     * The present rate.
     *
     * @return micro-tokens per second
     */
    public long rate() {
        return rate;
    }

    /**
     * The present capacity.
     *
     * @return micro-tokens
     */
    public long capacity() {
        return capacity;
    }

    /**
     * The tokens as of the last refill.
     *
     * @return micro-tokens
     */
    public long tokens() {
        return tokens;
    }
}
