package org.lycheetray.core.stop;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.traffic.RetrySafety;
import org.lycheetray.core.traffic.TrafficRoute;
import org.lycheetray.core.traffic.WeightedService;

class AnswerTimesTest {
    private static final Duration TARGET = Duration.ofSeconds(1);
    private static final TrafficRoute ROUTE = new TrafficRoute(
            "route",
            "host",
            "/",
            List.of(new WeightedService(new ServiceName("svc"), 1)),
            RetrySafety.AT_MOST_ONCE,
            Duration.ofSeconds(10),
            TARGET,
            1,
            1,
            false,
            false,
            Set.of());

    private final AnswerTimes times = new AnswerTimes();

    @Test
    void routeWithoutAnswersMayTakeLongerThanItsTarget() {
        assertThat(times.likelyWithin(ROUTE)).isGreaterThan(TARGET);
    }

    @Test
    void constantTimesConvergeToThatTime() {
        for (int i = 0; i < 100; i++) {
            times.record(ROUTE, Duration.ofMillis(640));
        }

        assertThat(times.likelyWithin(ROUTE)).isBetween(Duration.ofMillis(640), Duration.ofMillis(641));
    }

    /** Guards against an estimate that half of the answers exceed, as the mean would be. */
    @Test
    void mostVaryingTimesAreWithinTheEstimate() {
        SplittableRandom random = new SplittableRandom(15);
        int within = 0;
        for (int i = 0; i < 1_000; i++) {
            Duration took = Duration.ofMillis(random.nextInt(640, 3_520));
            within += took.compareTo(times.likelyWithin(ROUTE)) <= 0 ? 1 : 0;
            times.record(ROUTE, took);
        }

        assertThat(within).isGreaterThan(950);
    }

    @Test
    void removedRouteIsForgotten() {
        Duration initial = times.likelyWithin(ROUTE);
        times.record(ROUTE, Duration.ofMillis(1));

        times.retainRoutes(List.of("other"));

        assertThat(times.likelyWithin(ROUTE)).isEqualTo(initial);
    }
}
