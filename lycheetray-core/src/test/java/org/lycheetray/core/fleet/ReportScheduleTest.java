package org.lycheetray.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lycheetray.core.time.MonotonicTime;

class ReportScheduleTest {
    private static final long STEP_MS = 25;

    private static int reportsIn10Seconds(int vms, boolean urgent) {
        ReportSchedule schedule = new ReportSchedule();
        int sent = 0;
        for (long ms = 0; ms < 10_000; ms += STEP_MS) {
            MonotonicTime now = new MonotonicTime(ms * 1_000_000);
            if (schedule.isDue(vms, urgent, now)) {
                schedule.recordSent(now);
                sent++;
            }
        }
        return sent;
    }

    @Test
    void smallFleetReportsFourTimesASecond() {
        assertThat(reportsIn10Seconds(11, false)).isEqualTo(40);
    }

    @Test
    void urgentReportOfASmallFleetIsSentAtOnce() {
        assertThat(reportsIn10Seconds(8, true)).isEqualTo(400);
    }

    @Test
    void readRateDoesNotGrowWithTheFleet() {
        int first = 1;
        assertThat(90 * (reportsIn10Seconds(91, true) - first)).isLessThanOrEqualTo(4_000);
        assertThat(299 * (reportsIn10Seconds(300, true) - first)).isLessThanOrEqualTo(4_000);
    }

    @Test
    void reportsOfNinetyVmsAreSentWithinTheSilenceTimeout() {
        assertThat(reportsIn10Seconds(91, false)).isGreaterThanOrEqualTo(25);
    }
}
