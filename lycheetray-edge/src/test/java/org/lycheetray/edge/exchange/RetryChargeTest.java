package org.lycheetray.edge.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.allowance.FleetRetryBudget;
import org.lycheetray.core.fleet.FleetKnowledge;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.time.MonotonicTime;

class RetryChargeTest {
    private static final ServiceName SERVICE = new ServiceName("svc");
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final int EXTRA = 56;
    private static final MonotonicTime START = MonotonicTime.ZERO.plus(WINDOW.multipliedBy(2));

    private final FleetRetryBudget budget = new FleetRetryBudget(new FleetRetryBudget.RetryLimits(0.2, EXTRA, WINDOW));

    RetryChargeTest() {
        budget.updateFleet(new FleetKnowledge.Known(1, 1, MonotonicTime.ZERO), MonotonicTime.ZERO);
    }

    private List<RetryCharge> decidedRetries(MonotonicTime now) {
        return IntStream.range(0, EXTRA)
                .mapToObj(i -> new RetryCharge(budget, SERVICE))
                .filter(c -> c.tryRequire(now))
                .toList();
    }

    @Test
    void retriesThatWaitAndNewOnesTogetherStayWithinOneWindow() {
        List<RetryCharge> waiting = decidedRetries(START);
        MonotonicTime sent = START.plus(WINDOW.plus(Duration.ofSeconds(1)));
        List<RetryCharge> fresh = decidedRetries(sent);

        long paid = IntStream.range(0, 2)
                .mapToObj(i -> i == 0 ? waiting : fresh)
                .flatMap(List::stream)
                .filter(c -> c.tryPay(sent))
                .count();

        assertThat(paid).isBetween(1L, (long) EXTRA);
    }

    @Test
    void attemptAfterOneThatDidNotArriveIsNotPaidAgain() {
        RetryCharge c = new RetryCharge(budget, SERVICE);
        assertThat(c.tryRequire(START)).isTrue();
        assertThat(c.tryPay(START)).isTrue();
        while (budget.tryAcquireRetry(SERVICE, START)) {}

        assertThat(c.tryPay(START)).isTrue();
    }
}
