package org.lycheetray.core.allowance;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class FleetRetryBudgetPropertyTest {
    private static final Duration HALF_A_WINDOW = Duration.ofSeconds(5);
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration LONG_DIVISION = Duration.ofSeconds(80);

    private final RepeatingFleet fleet = new RepeatingFleet(1);

    @Property(seed = "38", tries = 40)
    void repeatsOfAllVmsStayWithinTheLimitInRandomHistories(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int vms) {
        assertThat(peakOfRandomHistory(seed, vms)).isLessThanOrEqualTo(1);
    }

    @Test
    void repeatsOfThreeHundredVmsStayWithinTheLimit() {
        assertThat(peakOfRandomHistory(7, 300)).isLessThanOrEqualTo(1);
    }

    private static double peakOfRandomHistory(long seed, int vms) {
        Random random = new Random(seed);
        RepeatingFleet f = new RepeatingFleet(seed);
        f.setRepeatProbability(random.nextBoolean() ? 1 : 0.2);
        f.setRequestsPerStep(random.nextInt(4));
        f.startAll(vms);
        int names = vms;
        for (int i = 0; i < 40; i++) {
            f.run(Duration.ofSeconds(1 + random.nextInt(8)));
            List<Integer> running = f.running();
            int vm = running.isEmpty() ? 0 : running.get(random.nextInt(running.size()));
            switch (running.isEmpty() ? 3 : random.nextInt(11)) {
                case 0 -> f.kill(vm);
                case 1 -> f.start(vm);
                case 2 -> running.forEach(f::start);
                case 3 -> f.startAll(vms);
                case 4 -> f.start(names++);
                case 5 -> f.divide(2 + random.nextInt(2));
                case 6 -> f.isolate(vm);
                case 7 -> f.reunite();
                case 8 -> f.setTableReadable(random.nextBoolean());
                case 9 -> {
                    f.leave(vm);
                    f.run(HALF_A_WINDOW);
                    f.kill(vm);
                }
                default -> f.run(LONG_DIVISION);
            }
        }
        return f.peakUsedFraction();
    }

    @Test
    void vmsThatStartWithoutTheTableOfVmsRepeatWithinTheLimit() {
        fleet.startAll(8);
        fleet.run(WINDOW);
        fleet.setTableReadable(false);
        fleet.startAll(8);
        fleet.run(WINDOW);

        assertThat(fleet.peakUsedFraction()).isLessThanOrEqualTo(1);
    }

    @Test
    void processesOfOneVmThatIsKilledThreeTimesRepeatWithinTheLimit() {
        fleet.startAll(4);
        fleet.run(WINDOW.multipliedBy(2));
        for (int i = 0; i < 3; i++) {
            fleet.start(0);
            fleet.run(WINDOW.dividedBy(4));
        }

        assertThat(fleet.peakUsedFraction()).isLessThanOrEqualTo(1);
    }

    @Test
    void processesOfAllVmsThatAreReplacedOneByOneRepeatWithinTheLimit() {
        fleet.startAll(8);
        fleet.run(WINDOW.multipliedBy(2));
        for (int vm = 0; vm < 8; vm++) {
            fleet.leave(vm);
            fleet.run(Duration.ofSeconds(3));
            fleet.start(vm);
            fleet.run(Duration.ofSeconds(1));
        }
        fleet.run(WINDOW);

        assertThat(fleet.peakUsedFraction()).isLessThanOrEqualTo(1);
    }

    @Test
    void partsOfADividedFleetRepeatWithinTheLimit() {
        for (int parts = 2; parts <= 3; parts++) {
            fleet.startAll(9);
            fleet.run(WINDOW.multipliedBy(2));
            fleet.divide(parts);
            fleet.run(LONG_DIVISION);
            fleet.reunite();
            fleet.run(HALF_A_WINDOW);
        }

        assertThat(fleet.peakUsedFraction()).isLessThanOrEqualTo(1);
    }

    @Test
    void vmsThatRestartBeforeOneThatIsCutOffKnowsThemRepeatWithinTheLimit() {
        fleet.setRequestsPerStep(0);
        fleet.startAll(1);
        fleet.run(WINDOW.multipliedBy(2));
        fleet.isolate(0);
        for (int i = 0; i < 2; i++) {
            fleet.start(1);
            fleet.start(2);
            fleet.run(WINDOW.multipliedBy(2));
        }

        assertThat(fleet.peakUsedFraction()).isLessThanOrEqualTo(1);
    }

    @Test
    void vmsThatWereDividedForLongFindEachOtherAgain() {
        fleet.startAll(4);
        fleet.run(WINDOW.multipliedBy(2));
        fleet.divide(2);
        fleet.run(LONG_DIVISION);
        fleet.reunite();
        fleet.run(WINDOW);

        assertThat(fleet.smallestView()).isEqualTo(4);
    }

    @Test
    void vmThatIsAloneUsesTheExtraRetriesOneWindowAfterItsStart() {
        fleet.setRequestsPerStep(0);
        fleet.startAll(1);
        fleet.run(WINDOW.plus(HALF_A_WINDOW));

        assertThat(fleet.peakUsedFraction()).isGreaterThan(0.8);
    }

    @Test
    void vmsUseTheExtraRetriesOneWindowAfterTheTableOfVmsReturns() {
        fleet.setRequestsPerStep(0);
        fleet.setTableReadable(false);
        fleet.startAll(8);
        fleet.run(WINDOW);
        fleet.setTableReadable(true);
        fleet.run(WINDOW.plus(HALF_A_WINDOW));

        assertThat(fleet.peakUsedFraction()).isGreaterThan(0.8);
    }
}
