package org.lycheetray.core.stop;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lycheetray.core.time.MonotonicTime;

class StopScheduleTest {
    private static final MonotonicTime START = MonotonicTime.ZERO.plus(Duration.ofHours(1));
    private static final MonotonicTime FAR_DEADLINE = START.plus(Duration.ofHours(1));

    /** Guards against steps of the stop in another order, or after the end of the process, for any grace period. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 6, 30})
    void stepsAreInOrderWithinTheGracePeriod(int seconds) {
        StopSchedule s = new StopSchedule(START, Duration.ofSeconds(seconds));

        assertThat(s.serveUntil()).isLessThanOrEqualTo(s.requestLimit());
        assertThat(s.requestLimit()).isLessThanOrEqualTo(s.deliveryLimit());
        assertThat(s.deliveryLimit()).isLessThanOrEqualTo(START.plus(s.gracePeriod()));
    }

    /** Guards against starting work, at any moment of any grace period, that the stop then ends. */
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 6, 30})
    void noAttemptIsStartedThatIsLikelyToLastBeyondTheLimit(int seconds) {
        StopSchedule s = new StopSchedule(START, Duration.ofSeconds(seconds));
        Duration step = Duration.ofMillis(10);

        for (MonotonicTime t = START; t.isBefore(START.plus(s.gracePeriod())); t = t.plus(step)) {
            for (int work = 0; work < 5_000; work += 160) {
                Duration d = Duration.ofMillis(work);
                boolean ends = !s.requestLimit().isBefore(t.plus(d)) && t.isBefore(s.requestLimit());
                assertThat(s.canFinish(d, FAR_DEADLINE, t)).isEqualTo(ends);
            }
        }
    }

    @Test
    void attemptThatItsDeadlineEndsInTimeMayBeStarted() {
        StopSchedule s = new StopSchedule(START, Duration.ofSeconds(6));

        assertThat(s.canFinish(Duration.ofSeconds(20), s.requestLimit(), START)).isTrue();
        assertThat(s.canFinish(Duration.ofSeconds(20), s.deliveryLimit(), START))
                .isFalse();
    }

    /** Guards against refusing callers whose look-up answers have not expired. */
    @Test
    void requestsAreAcceptedUntilLookupAnswersHaveExpired() {
        StopSchedule s = new StopSchedule(START, Duration.ofSeconds(6));

        assertThat(s.accepts(START.plus(Duration.ofSeconds(2)))).isTrue();
        assertThat(s.accepts(START.plus(Duration.ofSeconds(3)))).isFalse();
    }
}
