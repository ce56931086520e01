package org.lycheetray.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.fleet.FleetKnowledge;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

class FleetRetryBudgetTest {
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final MonotonicTime START = MonotonicTime.ZERO.plus(WINDOW.multipliedBy(2));

    private final FleetRetryBudget budget = new FleetRetryBudget(new FleetRetryBudget.RetryLimits(0.2, 56, WINDOW));

    FleetRetryBudgetTest() {
        budget.updateFleet(new FleetKnowledge.Known(8, 1, MonotonicTime.ZERO), MonotonicTime.ZERO);
    }

    @Test
    void vmsTogetherStayWithinTheFleetLimit() {
        IntStream.range(0, 100).forEach(i -> budget.recordRequest(SERVICE, START));

        int granted = grant(1_000, START);

        assertThat(granted * 8).isLessThanOrEqualTo((int) (0.2 * 800 + 56));
        assertThat(granted).isGreaterThan(15);
    }

    @Test
    void requestsOfAnEarlierWindowAllowNoRetries() {
        IntStream.range(0, 100).forEach(i -> budget.recordRequest(SERVICE, START));

        assertThat(grant(1_000, START.plus(Duration.ofSeconds(11)))).isLessThanOrEqualTo(56 / 8);
    }

    private int grant(int attempts, MonotonicTime now) {
        return (int) IntStream.range(0, attempts)
                .filter(i -> budget.tryAcquireRetry(SERVICE, now))
                .count();
    }
}
