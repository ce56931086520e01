package org.lycheetray.platform.memory;

import java.time.Duration;
import java.util.Random;
import org.lycheetray.platform.PlatformException;
import reactor.core.publisher.Mono;

/** Injects platform faults into the in-memory implementations: outages, delays and lost responses. Thread-safe. */
public final class FaultInjector {
    private static final String PEER = "memory";

    private final Random random;
    private volatile boolean down;
    private volatile Duration slow = Duration.ZERO;
    private volatile double loseAnswers;

    /**
     * Creates an instance with all faults off.
     *
     * @param seed seed of the random choice of lost responses
     */
    public FaultInjector(long seed) {
        random = new Random(seed);
    }

    /**
     * Sets whether every call fails without effect.
     *
     * @param down whether the platform is unavailable
     */
    public void setDown(boolean down) {
        this.down = down;
    }

    /**
     * Sets the delay of every call.
     *
     * @param slow added delay, zero for none
     */
    public void setDelay(Duration slow) {
        this.slow = slow;
    }

    /**
     * Sets the share of writes that are applied but whose response is lost.
     *
     * @param share share of lost responses, 0 to 1
     */
    public void setLostAnswerShare(double share) {
        this.loseAnswers = share;
    }

    /**
     * Returns whether the response of the present write is to be lost, by a random choice.
     *
     * @return true to lose the response
     */
    public boolean shouldLoseAnswer() {
        double share = loseAnswers;
        if (share <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    /**
     * Applies outages and delays to a call.
     *
     * @param <T> type of the result
     * @param step operation named in errors
     * @param call the call
     * @return the call with faults applied
     */
    public <T> Mono<T> apply(String step, Mono<T> call) {
        Mono<T> checked = Mono.defer(() -> down ? Mono.error(outage(step)) : call);
        return Mono.defer(() -> slow.isZero() ? checked : Mono.delay(slow).then(checked));
    }

    static PlatformException lost(String step) {
        return new PlatformException(step, PEER, "answer lost", null);
    }

    private static PlatformException outage(String step) {
        return new PlatformException(step, PEER, "outage", null);
    }
}
