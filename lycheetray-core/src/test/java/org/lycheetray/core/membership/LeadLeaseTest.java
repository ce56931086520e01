package org.lycheetray.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

class LeadLeaseTest {
    private static final LeadLeaseSettings SETTINGS = LeadLeaseSettings.STANDARD;

    /** Table of one row that can be unavailable, or lose the response to a write that it applied. */
    private static final class FakeTable {
        private Optional<Row> row = Optional.empty();
        private boolean down;
        private boolean loseResponses;

        List<LeadEffect> perform(LeadLease lease, LeadEffect effect, MonotonicTime now) {
            return switch (effect) {
                case LeadEffect.ReadRow r when down -> lease.readFailed(now);
                case LeadEffect.ReadRow r -> lease.rowRead(row, now);
                case LeadEffect.WriteRow w when down -> lease.written(new WriteResult.Unknown("down"), now);
                case LeadEffect.WriteRow w -> write(lease, w, now);
            };
        }

        private List<LeadEffect> write(LeadLease lease, LeadEffect.WriteRow w, MonotonicTime now) {
            long present = row.map(Row::revision).orElse(0L);
            if (present != w.change().expectedRevision()) {
                return lease.written(new WriteResult.Conflict(row.stream().toList()), now);
            }
            row = Optional.of(new Row(w.change().key(), present + 1, w.change().value()));
            return lease.written(
                    loseResponses ? new WriteResult.Unknown("answer lost") : new WriteResult.Applied(present + 1), now);
        }
    }

    private final FakeTable table = new FakeTable();
    private final Incarnation a = new Incarnation(new VmName("a"), 1);
    private final Incarnation b = new Incarnation(new VmName("b"), 2);
    private final LeadLease leaseA = lease(a);
    private final LeadLease leaseB = lease(b);
    private MonotonicTime now = MonotonicTime.ZERO;

    private static LeadLease lease(Incarnation local) {
        return LeadLease.create(new DataCentreName("d"), local, SETTINGS, MonotonicTime.ZERO);
    }

    private void run(LeadLease lease, Incarnation candidate, Duration d) {
        for (long ms = 0; ms < d.toMillis(); ms += 500) {
            now = now.plus(Duration.ofMillis(500));
            step(lease, Optional.of(candidate));
        }
    }

    private void step(LeadLease lease, Optional<Incarnation> candidate) {
        List<LeadEffect> due = new ArrayList<>(lease.tick(candidate, now));
        while (!due.isEmpty()) {
            due.addAll(table.perform(lease, due.removeFirst(), now));
        }
    }

    @Test
    void candidateAcquiresAFreeLease() {
        run(leaseA, a, Duration.ofSeconds(1));
        assertThat(leaseA.authority(now)).isEqualTo(LeadAuthority.LEASED);
        assertThat(leaseA.term()).isEqualTo(1);
    }

    @Test
    void pausedHolderDetectsThatItsLeaseExpired() {
        run(leaseA, a, Duration.ofSeconds(1));
        assertThat(leaseA.isLead(now.plus(SETTINGS.duration()))).isFalse();
    }

    @Test
    void contenderWaitsUntilTheLeaseExpiresAndGetsAHigherTerm() {
        run(leaseA, a, Duration.ofSeconds(1));
        run(leaseB, b, Duration.ofSeconds(9));
        assertThat(leaseB.isLead(now)).isFalse();
        run(leaseB, b, Duration.ofSeconds(6));
        assertThat(leaseB.isLead(now)).isTrue();
        assertThat(leaseB.term()).isEqualTo(2);
    }

    @Test
    void releasedLeaseIsAcquiredImmediately() {
        run(leaseA, a, Duration.ofSeconds(1));
        leaseA.release(now).forEach(e -> table.perform(leaseA, e, now));
        run(leaseB, b, Duration.ofSeconds(1));
        assertThat(leaseA.isLead(now)).isFalse();
        assertThat(leaseB.isLead(now)).isTrue();
    }

    @Test
    void writeWithLostResponseIsResolvedByReadingTheRow() {
        table.loseResponses = true;
        run(leaseA, a, Duration.ofSeconds(1));
        assertThat(leaseA.isLead(now)).isFalse();
        table.loseResponses = false;
        run(leaseA, a, Duration.ofSeconds(4));
        assertThat(leaseA.isLead(now)).isTrue();
    }

    @Test
    void lastLeadContinuesToActWhileTheStoreIsDown() {
        run(leaseA, a, Duration.ofSeconds(1));
        table.down = true;
        run(leaseA, a, Duration.ofSeconds(30));
        assertThat(leaseA.authority(now)).isEqualTo(LeadAuthority.ACTING);
        table.down = false;
        run(leaseA, a, Duration.ofSeconds(4));
        assertThat(leaseA.authority(now)).isEqualTo(LeadAuthority.LEASED);
    }

    @Property(seed = "605", tries = 200)
    void leaseNeverHasTwoHolders(@ForAll Random random) {
        table.row = Optional.empty();
        LeadLease first = lease(a);
        LeadLease second = lease(b);
        now = MonotonicTime.ZERO;
        for (int i = 0; i < 400; i++) {
            now = now.plus(Duration.ofMillis(random.nextInt(1500)));
            table.down = random.nextInt(4) == 0;
            table.loseResponses = random.nextInt(4) == 0;
            LeadLease active = random.nextBoolean() ? first : second;
            step(active, Optional.of(active == first ? a : b));
            assertThat(first.isLead(now) && second.isLead(now)).isFalse();
        }
    }
}
