package org.lycheetray.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.registry.ServerBuilder;
import org.lycheetray.core.time.MonotonicTime;

/** Guards against requests that reach a server after it has announced its leaving or requested a pause. */
class ServerAvailabilityTest {
    private static final Duration PAUSE = Duration.ofSeconds(2);

    private MonotonicTime now = MonotonicTime.ZERO;
    private final Placement placement = PlacementFixture.placement(0, 3);
    private final RegisteredServer a = ServerBuilder.entry("a").build();
    private final RegisteredServer b = ServerBuilder.entry("b").build();

    private void register(RegisteredServer... entries) {
        placement.updateServers(Arrays.asList(entries), now);
    }

    private boolean leave(RegisteredServer server) {
        return placement.availability().record(server, new AvailabilityStatement.Leaving(), now);
    }

    private boolean pause(RegisteredServer server, Duration d) {
        return placement.availability().record(server, new AvailabilityStatement.Paused(d), now);
    }

    private PlacementDecision decide() {
        return placement.decide(PlacementFixture.request(Optional.empty(), Set.of(), now), now);
    }

    private PlacementDecision.Send send() {
        PlacementRequest r = PlacementFixture.request(Optional.empty(), Set.of(), now);
        PlacementDecision.Send s = (PlacementDecision.Send) placement.decide(r, now);
        placement.recordStart(r, s, now);
        return s;
    }

    private void end(PlacementDecision.Send s, AttemptOutcome outcome) {
        placement.recordEnd(PlacementFixture.request(Optional.empty(), Set.of(), now), s, outcome, now);
    }

    private void pass(Duration d) {
        now = now.plus(d);
    }

    private List<String> chosen(int requests) {
        List<String> names = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            if (decide() instanceof PlacementDecision.Send s) {
                names.add(s.name().value());
            }
        }
        return names;
    }

    @Test
    void serverThatAnnouncedItsLeavingReceivesNoRequests() {
        register(a, b);

        assertThat(leave(a)).isTrue();

        assertThat(chosen(20)).hasSize(20).containsOnly("b");
        assertThat(leave(a)).isFalse();
    }

    @Test
    void entryDoesNotEndTheLeaving() {
        register(a);
        leave(a);

        register();
        pass(Duration.ofMinutes(5));
        register(ServerBuilder.entry("a").build());

        assertThat(decide()).isInstanceOf(PlacementDecision.Refuse.class);
    }

    @Test
    void laterIncarnationReceivesRequestsAgain() {
        RegisteredServer later =
                ServerBuilder.entry("a").incarnation(a.incarnation() + 1).build();
        register(a);
        leave(a);
        pause(a, PAUSE);

        register(later);

        assertThat(chosen(1)).containsExactly("a");
        assertThat(leave(a)).isFalse();
        assertThat(pause(a, PAUSE)).isFalse();
        assertThat(chosen(1)).containsExactly("a");
    }

    @Test
    void serverReceivesNoRequestsDuringAPause() {
        register(a, b);

        assertThat(pause(a, PAUSE)).isTrue();

        for (int ms = 0; ms < PAUSE.toMillis(); ms += 100) {
            assertThat(chosen(5)).containsOnly("b");
            pass(Duration.ofMillis(100));
        }
    }

    @Test
    void requestIsRefusedAtOnceUntilTheFirstPauseEnds() {
        register(a, b);
        pause(a, PAUSE);
        pause(b, PAUSE.multipliedBy(3));

        assertThat(decide()).isInstanceOfSatisfying(PlacementDecision.Refuse.class, r -> {
            assertThat(r.reason()).isEqualTo("server-pause");
            assertThat(r.retryAfter()).isBetween(PAUSE, PAUSE.plusMillis(500));
        });
    }

    @Test
    void requestIsHeldWhileAPauseEndsSoon() {
        register(a);
        pause(a, Duration.ofMillis(20));

        assertThat(decide()).isInstanceOf(PlacementDecision.Hold.class);
    }

    @Test
    void vmsReturnAtDifferentTimes() {
        List<Long> ends = new ArrayList<>();
        for (int vm = 0; vm < 20; vm++) {
            Placement p = PlacementFixture.placement(vm, vm);
            p.updateServers(List.of(a), now);
            p.availability().record(a, new AvailabilityStatement.Paused(PAUSE), now);
            PlacementRequest r = PlacementFixture.request(Optional.empty(), Set.of(), now);
            ends.add(((PlacementDecision.Refuse) p.decide(r, now)).retryAfter().toMillis());
        }

        assertThat(ends).allMatch(ms -> ms >= PAUSE.toMillis()).doesNotHaveDuplicates();
    }

    @Test
    void requestThatIsNotAnsweredAfterAPauseDoesNotBlockTheServer() {
        register(a);
        pause(a, PAUSE);
        pass(PAUSE.plusSeconds(1));
        send();
        assertThat(decide()).isNotInstanceOf(PlacementDecision.Send.class);

        pass(Duration.ofSeconds(1));

        assertThat(decide()).isInstanceOf(PlacementDecision.Send.class);
    }

    @Test
    void requestIsNotRefusedForAPauseWhileAServerThatWasTriedHasNone() {
        register(a, b);
        pause(b, PAUSE.multipliedBy(10));
        PlacementRequest r = PlacementFixture.request(Optional.empty(), Set.of(), now);
        PlacementRequest second = new PlacementRequest(
                r.route(), r.service(), r.object(), r.regions(), now, r.targetTime(), r.deadline(), Set.of(a.name()));

        assertThat(placement.decide(second, now)).isInstanceOf(PlacementDecision.Hold.class);
    }

    @Test
    void serverReceivesRequestsOneByOneAfterAPauseUntilItAnswers() {
        register(a);
        pause(a, PAUSE);
        pass(PAUSE.plusSeconds(1));

        PlacementDecision.Send first = send();
        assertThat(decide()).isNotInstanceOf(PlacementDecision.Send.class);
        end(first, new AttemptOutcome.Answered(Duration.ofMillis(50)));

        send();
        assertThat(decide()).isInstanceOf(PlacementDecision.Send.class);
        assertThat(placement.availability().takeEndedPauses(now)).containsExactly(a.name());
        assertThat(placement.availability().takeEndedPauses(now)).isEmpty();
    }

    @Test
    void longerPauseReplacesAShorterOneAndNeverTheReverse() {
        register(a);
        pause(a, PAUSE.multipliedBy(4));
        pause(a, PAUSE);
        pass(PAUSE.multipliedBy(3));

        assertThat(decide()).isInstanceOf(PlacementDecision.Refuse.class);
    }

    @Test
    void pauseOfAnyLengthEnds() {
        register(a);
        pause(a, Duration.ofMillis(Long.MAX_VALUE));
        assertThat(placement.availability().pausedCount(now)).isEqualTo(1);

        pass(Duration.ofMinutes(11));

        assertThat(decide()).isInstanceOf(PlacementDecision.Send.class);
    }
}
