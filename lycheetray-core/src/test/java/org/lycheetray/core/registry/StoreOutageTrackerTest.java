package org.lycheetray.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.time.MonotonicTime;

class StoreOutageTrackerTest {
    private final StoreOutageTracker tracker = new StoreOutageTracker();

    @Test
    void noDeadlineWithoutOutage() {
        tracker.recordAnswer(at(0));

        assertThat(tracker.reappearanceDeadline(at(100))).isEmpty();
    }

    @Test
    void deadlineCountsFromTheFirstAnswerAfterTheOutage() {
        tracker.recordAnswer(at(0));
        tracker.recordFailure(at(1_000));
        tracker.recordFailure(at(2_000));
        tracker.recordAnswer(at(3_000));
        tracker.recordAnswer(at(4_000));

        assertThat(tracker.reappearanceDeadline(at(4_000))).contains(at(5_200));
        assertThat(tracker.reappearanceDeadline(at(5_200))).isEmpty();
    }

    @Test
    void lostCallThatIsNoticedAfterAnotherAnswerDoesNotExtendTheDeadline() {
        tracker.recordFailure(at(1_000));
        tracker.recordAnswer(at(3_000));

        tracker.recordAnswer(at(6_900));
        tracker.recordFailure(at(500));
        tracker.recordAnswer(at(7_200));

        assertThat(tracker.reappearanceDeadline(at(7_200))).isEmpty();
    }

    @Test
    void lostCallThatIsNoticedAfterTheReturnReportsTheOutage() {
        tracker.recordAnswer(at(3_000));

        tracker.recordFailure(at(500));

        assertThat(tracker.reappearanceDeadline(at(4_000))).contains(at(5_200));
    }

    private static MonotonicTime at(long millis) {
        return MonotonicTime.ZERO.plus(Duration.ofMillis(millis));
    }
}
