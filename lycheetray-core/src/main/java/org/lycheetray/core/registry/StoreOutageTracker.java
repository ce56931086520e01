package org.lycheetray.core.registry;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Determines until when entries that expired during an outage of the store may reappear, from the outcomes of this VM's
 * calls to the store.
 *
 * <p>The period starts with the first answer after an outage. A removal that is read later is a server that has left.
 * Not thread-safe.
 */
public final class StoreOutageTracker {
    /**
     * Time for an expired entry to reappear. Running servers renew their entries within about 2 s after the store has
     * recovered.
     */
    public static final Duration REAPPEARANCE_PERIOD = Duration.ofMillis(2_200);

    private boolean unavailable;
    private Optional<MonotonicTime> lastAnswer = Optional.empty();
    private Optional<MonotonicTime> returned = Optional.empty();

    /**
     * Records a call that failed.
     *
     * <p>If another call was answered after this one was sent, the outage is over although its failure was noticed only
     * now, as happens to long polls that are lost without an error.
     *
     * @param sent time at which the call was sent
     */
    public void recordFailure(MonotonicTime sent) {
        Optional<MonotonicTime> answer = lastAnswer.filter(sent::isBefore);
        if (answer.isPresent() && !unavailable) {
            returned = answer;
        } else {
            unavailable = true;
        }
    }

    /**
     * Records a call that was answered.
     *
     * @param now current time
     */
    public void recordAnswer(MonotonicTime now) {
        if (unavailable) {
            unavailable = false;
            returned = Optional.of(now);
        }
        lastAnswer = Optional.of(now);
    }

    /**
     * Returns until when missing entries may reappear.
     *
     * @param now current time
     * @return the end of the period, or empty if a missing entry belongs to a server that has left
     */
    public Optional<MonotonicTime> reappearanceDeadline(MonotonicTime now) {
        return returned.map(t -> t.plus(REAPPEARANCE_PERIOD)).filter(now::isBefore);
    }
}
