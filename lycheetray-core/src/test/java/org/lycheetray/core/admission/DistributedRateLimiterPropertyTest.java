package org.lycheetray.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.lycheetray.core.admission.FaultInjectionFleet.Mutant;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Rate;

/**
 * Checks that the fleet never admits more than a single token bucket would, whichever messages are lost and whichever
 * processes fail.
 */
class DistributedRateLimiterPropertyTest {
    private static final int STEPS = 1_500;
    private static final double FAULTS = 0.02;
    private static final Rate RATE = new Rate(100, 30);

    @Property(seed = "11", tries = 40, shrinking = ShrinkingMode.OFF)
    void neverOverAdmits(@ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int burst) {
        FaultInjectionFleet fleet = new FaultInjectionFleet(seed, new Rate(60, burst), 5, Mutant.NONE);

        fleet.step(STEPS, FAULTS);

        assertThat(fleet.overAdmitted()).isZero();
        assertThat(fleet.overHeld()).isZero();
        assertThat(fleet.admitted()).isPositive();
    }

    @Property(seed = "12", tries = 25, shrinking = ShrinkingMode.OFF)
    void loweredAndRaisedRateIsNotExceeded(@ForAll long seed) {
        Rate low = new Rate(40, 10);
        Manifest high = Manifests.of(RATE, 5);
        Manifest lowered = Manifests.of(low, 5);
        FaultInjectionFleet fleet = new FaultInjectionFleet(seed, RATE, 5, Mutant.NONE);
        fleet.step(300, FAULTS);

        fleet.configure(List.of(high, lowered));
        for (int i = 0; i < 200 && !fleet.hasNoExcessLoans(); i++) {
            fleet.step(1, 0);
        }
        assertThat(fleet.hasNoExcessLoans()).isTrue();
        fleet.setExpectedRate(low);
        fleet.step(300, FAULTS);
        fleet.configure(List.of(lowered));
        fleet.step(300, FAULTS);
        fleet.setExpectedRate(RATE);
        fleet.configure(List.of(high));
        fleet.step(300, FAULTS);

        assertThat(fleet.overAdmitted()).isZero();
        assertThat(fleet.overHeld()).isZero();
    }

    @Property(seed = "13", tries = 25, shrinking = ShrinkingMode.OFF)
    void rateIsNotExceededWhenVmIsReplaced(@ForAll long seed) {
        Manifest before = Manifests.of(RATE, 5);
        Manifest after = Manifests.of(RATE, IntStream.rangeClosed(1, 5));
        FaultInjectionFleet fleet = new FaultInjectionFleet(seed, RATE, 5, Mutant.NONE);
        fleet.step(300, FAULTS);

        fleet.configure(List.of(before, after));
        fleet.step(200, FAULTS);
        fleet.kill(Manifests.vm(0));
        fleet.step(110, FAULTS);
        fleet.configure(List.of(after));
        fleet.add(Manifests.vm(5));
        fleet.step(300, FAULTS);

        assertThat(fleet.overAdmitted()).isZero();
        assertThat(fleet.overHeld()).isZero();
    }

    @ParameterizedTest
    @EnumSource(names = "NONE", mode = EnumSource.Mode.EXCLUDE)
    void checkDetectsMutant(Mutant mutant) {
        long detected = LongStream.range(0, 12)
                .map(seed -> {
                    FaultInjectionFleet fleet = new FaultInjectionFleet(seed, RATE, 5, mutant);
                    fleet.step(STEPS, FAULTS);
                    return fleet.overAdmitted() + fleet.overHeld();
                })
                .sum();

        assertThat(detected).isPositive();
    }
}
