package org.lycheetray.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerBuilder;
import org.lycheetray.core.time.MonotonicTime;

class ServerLimitsTest {
    private static final OptionalDouble NONE = OptionalDouble.empty();

    private final RegisteredServer server = ServerBuilder.entry("a").build();
    private final ServerLimits here = new ServerLimits();
    private final ServerLimits other = new ServerLimits();
    private MonotonicTime now = MonotonicTime.ZERO.plus(Duration.ofMinutes(1));

    private void pass(long ms) {
        now = now.plus(Duration.ofMillis(ms));
    }

    private static OptionalDouble rate(double perSecond) {
        return OptionalDouble.of(perSecond);
    }

    private OptionalDouble known(ServerLimits limits) {
        return limits.limit(server, now)
                .map(l -> OptionalDouble.of(l.perSecond()))
                .orElse(NONE);
    }

    private List<ServerLimits.Report> reportToOther() {
        List<ServerLimits.Report> reports = here.takeReports(false, now);
        reports.forEach(r -> other.applyReport(r, now));
        return reports;
    }

    @Test
    void limitAndItsEndReachVmsThatReceiveNoAnswers() {
        here.recordAnswer(server, rate(2.5), now);
        assertThat(here.isReportDue()).isTrue();
        reportToOther();
        assertThat(known(other)).isEqualTo(rate(2.5));

        pass(1_000);
        here.recordAnswer(server, NONE, now);
        reportToOther();
        assertThat(known(other)).isEqualTo(NONE);
        assertThat(other.limitedServerCount()).isZero();
    }

    @Test
    void changeIsReportedThreeTimesAndThenEveryTwoSecondsByOneVm() {
        here.recordAnswer(server, rate(2), now);
        for (int i = 0; i < 3; i++) {
            assertThat(here.takeReports(false, now)).hasSize(1);
        }
        assertThat(here.takeReports(false, now)).isEmpty();

        pass(1_500);
        other.recordAnswer(server, rate(2), now);
        other.takeReports(false, now).forEach(r -> here.applyReport(r, now));
        here.recordAnswer(server, rate(2), now);
        pass(1_000);
        assertThat(here.takeReports(false, now)).isEmpty();
        pass(1_100);
        assertThat(here.takeReports(false, now)).hasSize(1);
    }

    @Test
    void reportOfAnEarlierAnswerIsIgnored() {
        here.recordAnswer(server, NONE, now);
        here.recordAnswer(server, rate(2), now);
        pass(500);
        here.recordAnswer(server, NONE, now);

        Optional<ServerLimits.Change> change = here.applyReport(
                new ServerLimits.Report(server.name(), server.incarnation(), rate(2), Duration.ofMillis(501)), now);

        assertThat(change).isEmpty();
        assertThat(known(here)).isEqualTo(NONE);
    }

    @Test
    void limitEndsWithTheIncarnationOfItsServer() {
        here.recordAnswer(server, rate(2), now);
        RegisteredServer restarted = ServerBuilder.entry("a").incarnation(2).build();

        assertThat(here.limit(restarted, now)).isEmpty();
        here.recordAnswer(restarted, rate(3), now);
        here.recordAnswer(server, NONE, now);
        assertThat(here.limit(restarted, now)).contains(new ServerLimits.Limit(3, false));
    }

    @Test
    void limitBecomesStaleWithoutAnswers() {
        here.recordAnswer(server, rate(2), now);
        pass(10_001);

        assertThat(here.limit(server, now)).contains(new ServerLimits.Limit(2, true));
    }

    @Test
    void newVmReceivesAllLimits() {
        here.recordAnswer(server, rate(2), now);
        for (int i = 0; i < 3; i++) {
            here.takeReports(false, now);
        }

        here.takeReports(true, now).forEach(r -> other.applyReport(r, now));

        assertThat(known(other)).isEqualTo(rate(2));
    }
}
