package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.MonotonicTime;

class RegionMovesTest {
    private static final RegionName HOME = new RegionName("home");
    private static final RegionName AWAY = new RegionName("away");
    private static final Duration STEP = Duration.ofMillis(20);

    private final RegionMoves moves = new RegionMoves(0.15);
    private MonotonicTime now = MonotonicTime.ZERO;

    private int offerAway(int requests) {
        int away = 0;
        for (int i = 0; i < requests; i++) {
            now = now.plus(STEP);
            boolean allowed = moves.isAllowed(AWAY, now);
            moves.sent(allowed ? AWAY : HOME, now);
            away += allowed ? 1 : 0;
        }
        return away;
    }

    private void stayHome(int requests) {
        for (int i = 0; i < requests; i++) {
            now = now.plus(STEP);
            moves.sent(HOME, now);
        }
    }

    @Test
    void overflowMovesNoMoreThanTheLimitFromWindowToWindow() {
        stayHome(250);

        assertThat(offerAway(100)).isLessThanOrEqualTo(16);
    }

    @Test
    void overflowThatLastsIsLetThroughStepByStep() {
        stayHome(250);
        offerAway(100);
        offerAway(700);

        assertThat(offerAway(100)).isGreaterThan(60);
    }

    @Test
    void lostServersSuspendTheLimit() {
        stayHome(250);

        moves.lift(now);

        assertThat(offerAway(100)).isEqualTo(100);
    }

    @Test
    void returningHomeIsLimitedAsWell() {
        moves.lift(now);
        offerAway(150);
        now = now.plus(Duration.ofSeconds(5));
        moves.lift(now);
        offerAway(230);

        assertThat(moves.isAllowed(HOME, now.plus(STEP))).isTrue();
        for (int i = 0; i < 20; i++) {
            now = now.plus(STEP);
            moves.sent(moves.isAllowed(HOME, now) ? HOME : AWAY, now);
        }
        assertThat(moves.isAllowed(HOME, now)).isFalse();
    }
}
