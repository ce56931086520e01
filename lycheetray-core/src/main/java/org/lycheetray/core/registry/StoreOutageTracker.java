package org.lycheetray.core.registry;

import java.time.Duration;
import java.util.ArrayDeque;
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

    /** Maximum number of remembered answers; more than arrive while one long poll is pending. */
    private static final int MAX_ANSWERS = 64;

    private final ArrayDeque<MonotonicTime> answers = new ArrayDeque<>();
    private boolean unavailable;
    private Optional<MonotonicTime> returned = Optional.empty();

    /**
     * Records a call that failed.
     *
     * <p>If another call was answered after this one was sent, the outage ended with that answer at the latest. This
     * happens to long polls that are lost without an error, since their failure is noticed late.
     *
     * @param sent time at which the call was sent
     */
    public void recordFailure(MonotonicTime sent) {
        Optional<MonotonicTime> answer = firstAnswerAfter(sent);
        if (answer.isEmpty()) {
            unavailable = true;
        } else if (!unavailable) {
            returned = returned.filter(answer.get()::isBefore).or(() -> answer);
        }
    }

    private Optional<MonotonicTime> firstAnswerAfter(MonotonicTime sent) {
        return answers.stream().filter(sent::isBefore).findFirst();
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
        if (answers.size() == MAX_ANSWERS) {
            answers.removeFirst();
        }
        answers.addLast(now);
    }

    /**
     * Records that the store has been restored from an older copy, which ends an outage even if no call failed.
     *
     * @param now time of the first answer of the restored store
     */
    public void recordRestore(MonotonicTime now) {
        unavailable = false;
        returned = Optional.of(now);
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
