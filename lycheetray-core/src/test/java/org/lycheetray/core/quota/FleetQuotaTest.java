package org.lycheetray.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;

class FleetQuotaTest {
    private static final double PER_SECOND = 50;
    private static final double BURST = 50;
    private static final QuotaTolerance TOLERANCE = new QuotaTolerance(Duration.ofSeconds(5), 0.1, 20);
    private static final double BOUND = (PER_SECOND * 5 + BURST) * 1.1 + 20;
    private static final AccountPolicy ACCOUNT = account(PER_SECOND, BURST);
    private static final long STEP_MS = 10;
    private static final int FULL_REPORT_INTERVAL = 9;

    /** Simulated VMs that report to each other every 250 ms and whenever a report is due. */
    private static final class Fleet {
        private final List<FleetQuota> vms = new ArrayList<>();
        private final Set<Integer> cutOff = new HashSet<>();
        private final List<Long> admittedAt = new ArrayList<>();
        private final boolean partial;
        private int reportCount;
        private long nowMs;
        private int partCount = 1;

        Fleet(int size) {
            this(size, false);
        }

        Fleet(int size, boolean partial) {
            this.partial = partial;
            for (int i = 0; i < size; i++) {
                FleetQuota q = new FleetQuota(TOLERANCE);
                q.updateAccounts(List.of(ACCOUNT), now());
                Set<VmName> others = new HashSet<>();
                for (int j = 0; j < size; j++) {
                    if (j != i) {
                        others.add(vm(j));
                    }
                }
                q.updateMembers(others, now());
                vms.add(q);
            }
        }

        MonotonicTime now() {
            return new MonotonicTime(nowMs * 1_000_000);
        }

        int run(long ms, double perSecondAndVm) {
            int refused = 0;
            double[] due = new double[vms.size()];
            for (long end = nowMs + ms; nowMs < end; nowMs += STEP_MS) {
                for (int i = 0; i < vms.size(); i++) {
                    for (due[i] += perSecondAndVm * STEP_MS / 1_000; due[i] >= 1; due[i]--) {
                        refused += admit(i) ? 0 : 1;
                    }
                    if (nowMs % 250 == 0 || vms.get(i).isReportDue()) {
                        report(i);
                    }
                }
            }
            return refused;
        }

        private boolean admit(int i) {
            boolean ok = vms.get(i).admit(ACCOUNT, now()) instanceof QuotaDecision.Admitted;
            if (ok) {
                admittedAt.add(nowMs);
            }
            return ok;
        }

        private void report(int from) {
            boolean full = !partial || reportCount++ % FULL_REPORT_INTERVAL == 0;
            Map<ClientAccountName, Long> totals = vms.get(from).admittedTotals(full);
            vms.get(from).recordReported();
            for (int to = 0; to < vms.size(); to++) {
                if (to != from
                        && to % partCount == from % partCount
                        && !cutOff.contains(from)
                        && !cutOff.contains(to)) {
                    vms.get(to).applyReport(vm(from), 1, totals, full, now());
                }
            }
        }

        /** Divides the fleet for so long that the VMs of each part no longer count those of the others. */
        void divideForLong(int parts) {
            partCount = parts;
            for (int i = 0; i < vms.size(); i++) {
                Set<VmName> others = new HashSet<>();
                for (int j = 0; j < vms.size(); j++) {
                    if (j != i && j % parts == i % parts) {
                        others.add(vm(j));
                    }
                }
                vms.get(i).updateMembers(others, now());
            }
        }

        long maxAdmittedInWindow() {
            return admittedAt.stream()
                    .mapToLong(t -> admittedAt.stream()
                            .filter(u -> u >= t && u < t + 5_000)
                            .count())
                    .max()
                    .orElse(0);
        }
    }

    @Test
    void skewedLoadWithinTheRateIsNotRefused() {
        Fleet fleet = new Fleet(8);
        fleet.run(3_000, 0);

        assertThat(fleet.run(10_000, PER_SECOND * 0.9 / 8)).isZero();
    }

    @Test
    void accountThatSendsTenTimesItsRateStaysWithinTheBound() {
        Fleet fleet = new Fleet(8);
        fleet.run(5_000, 0);

        fleet.run(12_000, PER_SECOND * 10 / 8);

        assertThat(fleet.maxAdmittedInWindow()).isLessThanOrEqualTo((long) BOUND);
    }

    @Test
    @Tag("known-red")
    void partsOfAFleetThatIsDividedForLongStayWithinTheBound() {
        Fleet fleet = new Fleet(8);
        fleet.run(5_000, 0);
        fleet.divideForLong(2);

        fleet.run(12_000, PER_SECOND * 10 / 8);

        assertThat(fleet.maxAdmittedInWindow()).isLessThanOrEqualTo((long) BOUND);
    }

    @Test
    @Tag("known-red")
    void vmsThatKnowNoOtherVmsStayWithinTheBound() {
        Fleet fleet = new Fleet(8);
        fleet.divideForLong(8);
        fleet.run(5_000, 0);

        fleet.run(12_000, PER_SECOND * 10 / 8);

        assertThat(fleet.maxAdmittedInWindow()).isLessThanOrEqualTo((long) BOUND);
    }

    @Test
    void partialReportsKeepTheBoundToo() {
        Fleet fleet = new Fleet(8, true);
        fleet.run(5_000, 0);

        fleet.run(12_000, PER_SECOND * 10 / 8);

        assertThat(fleet.maxAdmittedInWindow()).isLessThanOrEqualTo((long) BOUND);
    }

    @Test
    void partialReportsDoNotRefuseLoadWithinTheRate() {
        Fleet fleet = new Fleet(8, true);
        fleet.run(3_000, 0);

        assertThat(fleet.run(10_000, PER_SECOND * 0.9 / 8)).isZero();
    }

    /**
     * Guards against charging a new VM for partial totals that a long-running VM admitted before the new VM started.
     */
    @Test
    void partialTotalsFromBeforeTheStartAreNotCharged() {
        FleetQuota q = new FleetQuota(TOLERANCE);
        MonotonicTime now = MonotonicTime.ZERO;
        q.updateAccounts(List.of(ACCOUNT), now);
        q.updateMembers(Set.of(vm(1)), now);
        q.applyReport(vm(1), 1, Map.of(), false, now);
        q.applyReport(vm(1), 1, Map.of(ACCOUNT.name(), 1_000L), false, now);

        assertThat(q.admit(ACCOUNT, now)).isInstanceOf(QuotaDecision.Admitted.class);
    }

    @Test
    void partitionedFleetStaysWithinTheBound() {
        Fleet fleet = new Fleet(8);
        fleet.run(5_000, 0);
        fleet.cutOff.addAll(List.of(0, 1, 2));
        fleet.run(2_000, 1);

        fleet.run(12_000, PER_SECOND * 10 / 8);

        assertThat(fleet.maxAdmittedInWindow()).isLessThanOrEqualTo((long) BOUND);
    }

    @Test
    void totalOfANewIncarnationIsNotComparedWithTheOldOne() {
        FleetQuota q = new FleetQuota(TOLERANCE);
        MonotonicTime now = MonotonicTime.ZERO;
        q.updateAccounts(List.of(ACCOUNT), now);
        q.updateMembers(Set.of(vm(1)), now);
        q.applyReport(vm(1), 1, Map.of(ACCOUNT.name(), 1_000L), true, now);
        MonotonicTime later = now.plus(Duration.ofMinutes(1));

        q.applyReport(vm(1), 2, Map.of(ACCOUNT.name(), 10L), true, later);

        assertThat(IntStream.range(0, 30)
                        .filter(i -> q.admit(ACCOUNT, later) instanceof QuotaDecision.Admitted)
                        .count())
                .isEqualTo(30);
    }

    /** Guards against charging a new VM for large totals that were admitted before it started. */
    @Test
    void laterStartedVmIsNotChargedForEarlierAdmissions() {
        FleetQuota q = new FleetQuota(TOLERANCE);
        MonotonicTime now = MonotonicTime.ZERO;
        q.updateAccounts(List.of(ACCOUNT), now);
        q.updateMembers(Set.of(vm(1), vm(2)), now);
        q.applyReport(vm(1), 1, Map.of(ACCOUNT.name(), 1_000L), true, now);
        q.applyReport(vm(2), 1, Map.of(ACCOUNT.name(), 2_000L), true, now);

        assertThat(q.admit(ACCOUNT, now)).isInstanceOf(QuotaDecision.Admitted.class);
    }

    @Test
    void accountWithoutRateIsNeverRefused() {
        FleetQuota q = new FleetQuota(TOLERANCE);
        AccountPolicy unlimited = account(0, 0);
        q.updateAccounts(List.of(unlimited), MonotonicTime.ZERO);

        for (int i = 0; i < 1_000; i++) {
            assertThat(q.admit(unlimited, MonotonicTime.ZERO)).isInstanceOf(QuotaDecision.Admitted.class);
        }
    }

    private static AccountPolicy account(double perSecond, double burst) {
        return new AccountPolicy(
                new ClientAccountName("acme"), Set.of("key"), OptionalInt.empty(), perSecond, burst, Set.of());
    }

    private static VmName vm(int i) {
        return new VmName("vm-" + i);
    }
}
