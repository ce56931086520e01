package org.lycheetray.core.slots;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.health.ServerState;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

class SlotOwnerTest {
    private static final Incarnation HOLDER = new Incarnation(new VmName("h"), 1);
    private static final OwnerGeneration FIRST = new OwnerGeneration(1, new Incarnation(new VmName("o"), 1));
    private static final OwnerGeneration SECOND = new OwnerGeneration(2, new Incarnation(new VmName("p"), 2));
    private static final Duration GRANT_VALIDITY = Duration.ofSeconds(10);
    private static final MonotonicTime T0 = MonotonicTime.ZERO;

    private final SlotOwner owner = owner(FIRST, Set.of(), 2);
    private long requestCount;

    static UsableServer server(int number, int slots) {
        BackendServer s = new BackendServer(
                new BackendServerName("s" + number),
                new ServiceName("catalogue"),
                new DataCentreName("d"),
                new Endpoint("127.0.0.1", 1 + number),
                3,
                330);
        return new UsableServer(s, slots, ServerState.IN_USE);
    }

    private static SlotOwner owner(OwnerGeneration g, Set<VmName> holders, int servers) {
        SlotOwner o = SlotOwner.create(g, SlotOwnerSettings.ofQueueLimit(20), holders, GRANT_VALIDITY, T0);
        o.updateServers(IntStream.range(0, servers).mapToObj(i -> server(i, 3)).toList(), T0);
        return o;
    }

    private SlotRequest request(String account, SlotRequestMode mode) {
        return new SlotRequest(
                new SlotRequestId(HOLDER, requestCount++),
                new ClientAccountName(account),
                1,
                GRANT_VALIDITY,
                mode,
                Set.of());
    }

    private List<SlotDecision> fill(int count) {
        List<SlotDecision> decisions = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            decisions.addAll(owner.requestSlot(request("a", SlotRequestMode.IF_IDLE), T0));
        }
        return decisions;
    }

    @Test
    void grantsEachSlotOnceAndBalancesOverServers() {
        List<SlotDecision> decisions = fill(7);
        assertThat(decisions).filteredOn(SlotDecision.Granted.class::isInstance).hasSize(6);
        assertThat(decisions.getLast()).isInstanceOf(SlotDecision.Refused.class);
        assertThat(owner.inFlight(new BackendServerName("s0"))).isEqualTo(3);
    }

    @Test
    void retriedRequestGetsNoSecondSlot() {
        SlotRequest a = request("a", SlotRequestMode.IF_IDLE);
        owner.requestSlot(a, T0);
        assertThat(owner.requestSlot(a, T0)).isEmpty();
        assertThat(owner.load().inFlight()).isEqualTo(1);
    }

    @Test
    void releasedSlotGoesToTheNextAccountInTheFairQueue() {
        fill(6);
        for (int i = 0; i < 5; i++) {
            owner.requestSlot(request("busy", SlotRequestMode.QUEUE), T0);
        }
        SlotRequest idle = request("idle", SlotRequestMode.QUEUE);
        owner.requestSlot(idle, T0);
        owner.release(new SlotRequestId(HOLDER, 0), T0.plus(Duration.ofMillis(30)));
        List<SlotDecision> second = owner.release(new SlotRequestId(HOLDER, 1), T0.plus(Duration.ofMillis(30)));
        assertThat(second).extracting(SlotDecision::id).containsExactly(idle.id());
    }

    @Test
    void slotsOfDeadHolderAreReleasedAfterTheCancelTime() {
        fill(6);
        owner.holderDied(HOLDER, T0);
        assertThat(owner.load().idle()).isZero();
        owner.tick(T0.plus(SlotOwnerSettings.CANCEL_TIME));
        assertThat(owner.load().idle()).isEqualTo(6);
    }

    @Test
    void requestsFromOtherRegionsDoNotTakeReservedSlots() {
        SlotOwner large = owner(FIRST, Set.of(), 4);
        for (int i = 0; i < 11; i++) {
            large.requestSlot(request("a", SlotRequestMode.FROM_OTHER_REGION), T0);
        }
        assertThat(large.requestSlot(request("a", SlotRequestMode.FROM_OTHER_REGION), T0)
                        .getFirst())
                .isInstanceOf(SlotDecision.Refused.class);
        assertThat(large.requestSlot(request("a", SlotRequestMode.IF_IDLE), T0).getFirst())
                .isInstanceOf(SlotDecision.Granted.class);
    }

    @Test
    void requestThatCannotMeetItsDeadlineIsRefusedImmediately() {
        fill(6);
        for (int i = 0; i < 6; i++) {
            owner.release(new SlotRequestId(HOLDER, i), T0.plus(Duration.ofSeconds(9)));
        }
        fill(6);
        for (int i = 0; i < 8; i++) {
            owner.requestSlot(request("a", SlotRequestMode.QUEUE), T0);
        }
        SlotRequest late = request("a", SlotRequestMode.QUEUE);
        assertThat(owner.requestSlot(late, T0))
                .containsExactly(new SlotDecision.Refused(late.id(), SlotRefusal.DEADLINE, owner.load()));
    }

    @Test
    void newOwnerCountsGrantsOfItsPredecessor() {
        HeldGrants held = new HeldGrants();
        fill(6).forEach(e -> held.accept((SlotDecision.Granted) e, T0, T0));
        SlotOwner next = owner(SECOND, Set.of(HOLDER.vm()), 2);
        assertThat(next.requestSlot(request("a", SlotRequestMode.QUEUE), T0)).isEmpty();
        List<SlotDecision> answers =
                next.applyReport(HOLDER.vm(), held.report(SECOND, T0).orElseThrow(), T0);
        assertThat(answers).isEmpty();
        assertThat(next.load().inFlight()).isEqualTo(6);
    }

    @Test
    void grantOfAPausedPredecessorIsRejected() {
        HeldGrants held = new HeldGrants();
        held.report(SECOND, T0);
        SlotDecision.Granted late = (SlotDecision.Granted) fill(1).getFirst();
        assertThat(held.accept(late, T0, T0)).isFalse();
    }

    @Test
    void newOwnerStopsWaitingForReportsWhenTheLongestGrantHasExpired() {
        SlotOwner next = owner(SECOND, Set.of(HOLDER.vm()), 2);
        next.requestSlot(request("a", SlotRequestMode.QUEUE), T0.plus(Duration.ofSeconds(9)));
        assertThat(next.tick(T0.plus(Duration.ofSeconds(11)))).hasSize(1);
    }

    @Property(seed = "606", tries = 200)
    void noServerGetsMoreRequestsThanItHasSlots(@ForAll Random random) {
        SlotOwner fresh = owner(FIRST, Set.of(), 2);
        requestCount = 0;
        Map<SlotRequestId, BackendServerName> running = new HashMap<>();
        MonotonicTime now = T0;
        for (int i = 0; i < 300; i++) {
            now = now.plus(Duration.ofMillis(random.nextInt(20)));
            SlotRequestId some = new SlotRequestId(HOLDER, random.nextLong(requestCount + 1));
            List<SlotDecision> decisions = switch (random.nextInt(4)) {
                case 0, 1 -> fresh.requestSlot(request("a" + random.nextInt(3), SlotRequestMode.QUEUE), now);
                case 2 -> {
                    running.remove(some);
                    yield fresh.release(some, now);
                }
                default -> fresh.updateServers(List.of(server(0, 1 + random.nextInt(3)), server(1, 3)), now);
            };
            for (SlotDecision d : decisions) {
                if (d instanceof SlotDecision.Granted g) {
                    assertThat(running.put(g.id(), g.server().name())).isNull();
                }
            }
            Map<BackendServerName, Integer> counts = new HashMap<>();
            running.values().forEach(s -> counts.merge(s, 1, Integer::sum));
            counts.forEach((s, n) -> assertThat(n).isLessThanOrEqualTo(3).isEqualTo(fresh.inFlight(s)));
        }
    }
}
