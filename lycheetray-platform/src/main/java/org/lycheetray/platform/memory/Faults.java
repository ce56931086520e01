package org.lycheetray.platform.memory;

import java.time.Duration;
import java.util.Random;
import org.lycheetray.platform.PlatformException;
import reactor.core.publisher.Mono;

/** Switches for the platform's faults; safe for use by several threads. */
public final class Faults {
    private static final String PEER = "memory";

    private final Random random;
    private volatile boolean down;
    private volatile Duration slow = Duration.ZERO;
    private volatile double loseAnswers;

    /**
     * Creates switches that are all off.
     *
     * @param seed seed for choosing the answers that are lost
     */
    public Faults(long seed) {
        random = new Random(seed);
    }

    /**
     * Makes every call fail without effect.
     *
     * @param down true for an outage
     */
    public void down(boolean down) {
        this.down = down;
    }

    /**
     * Delays every call.
     *
     * @param slow time added, zero for none
     */
    public void slow(Duration slow) {
        this.slow = slow;
    }

    /**
     * Loses answers of writes that took effect.
     *
     * @param share share of answers lost, 0 to 1
     */
    public void loseAnswers(double share) {
        this.loseAnswers = share;
    }

    /**
     * Chooses whether the next answer is lost.
     *
     * @return true if it is lost
     */
    public boolean losesAnswer() {
        double share = loseAnswers;
        if (share <= 0) {
            return false;
        }
        synchronized (random) {
            return random.nextDouble() < share;
        }
    }

    /**
     * Wraps a call so that outages and delays apply to it.
     *
     * @param <T> type of the answer
     * @param step name of the call in errors
     * @param call the call
     * @return the call with faults
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
