package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.time.MonotonicTime;

class RegionShiftLimiterTest {
    private static final RegionName HOME = new RegionName("home");
    private static final RegionName AWAY = new RegionName("away");
    private static final Duration STEP = Duration.ofMillis(20);

    private final RegionShiftLimiter limiter = new RegionShiftLimiter(0.15);
    private MonotonicTime now = MonotonicTime.ZERO;

    private int sendAwayIfAllowed(int requests) {
        int away = 0;
        for (int i = 0; i < requests; i++) {
            now = now.plus(STEP);
            boolean allowed = limiter.isAllowed(AWAY, now);
            limiter.recordSent(allowed ? AWAY : HOME, now);
            away += allowed ? 1 : 0;
        }
        return away;
    }

    private void sendHome(int requests) {
        for (int i = 0; i < requests; i++) {
            now = now.plus(STEP);
            limiter.recordSent(HOME, now);
        }
    }

    @Test
    void shiftIsLimitedFromWindowToWindow() {
        sendHome(250);

        assertThat(sendAwayIfAllowed(100)).isLessThanOrEqualTo(16);
    }

    @Test
    void lastingOverflowIsAllowedGradually() {
        sendHome(250);
        sendAwayIfAllowed(100);
        sendAwayIfAllowed(700);

        assertThat(sendAwayIfAllowed(100)).isGreaterThan(60);
    }

    @Test
    void suspensionLiftsTheLimit() {
        sendHome(250);

        limiter.suspend(now);

        assertThat(sendAwayIfAllowed(100)).isEqualTo(100);
    }

    @Test
    void shiftBackIsLimitedToo() {
        limiter.suspend(now);
        sendAwayIfAllowed(150);
        now = now.plus(Duration.ofSeconds(5));
        limiter.suspend(now);
        sendAwayIfAllowed(230);

        assertThat(limiter.isAllowed(HOME, now.plus(STEP))).isTrue();
        for (int i = 0; i < 20; i++) {
            now = now.plus(STEP);
            limiter.recordSent(limiter.isAllowed(HOME, now) ? HOME : AWAY, now);
        }
        assertThat(limiter.isAllowed(HOME, now)).isFalse();
    }
}
