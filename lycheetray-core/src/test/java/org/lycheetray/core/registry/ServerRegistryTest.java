package org.lycheetray.core.registry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

class ServerRegistryTest {
    private static final MonotonicTime START = MonotonicTime.ZERO;
    private static final Optional<MonotonicTime> NO_OUTAGE = Optional.empty();
    private static final Optional<MonotonicTime> DEADLINE = Optional.of(START.plus(Duration.ofSeconds(2)));

    private final ServerRegistry registry = new ServerRegistry();

    @Test
    void removalTakesEffectAtOnce() {
        put("a", "b");

        ServerRegistry.Removals removals = registry.removeAll(List.of(name("a")), NO_OUTAGE, START);

        assertThat(removals.removed()).containsExactly(name("a"));
        assertThat(removals.deferred()).isEmpty();
        assertThat(registry.find(name("a"))).isEmpty();
    }

    @Test
    void removalAfterStoreOutageTakesEffectAtTheDeadline() {
        put("a", "b");

        ServerRegistry.Removals removals = registry.removeAll(List.of(name("a")), DEADLINE, START);

        assertThat(removals.removed()).isEmpty();
        assertThat(removals.deferred()).containsExactly(name("a"));
        assertThat(registry.find(name("a"))).isPresent();
        assertThat(registry.removeExpired(START.plus(Duration.ofMillis(1_999)))).isEmpty();
        assertThat(registry.removeExpired(DEADLINE.orElseThrow())).containsExactly(name("a"));
        assertThat(registry.find(name("a"))).isEmpty();
    }

    @Test
    void entryThatReappearsBeforeTheDeadlineIsKept() {
        put("a", "b");
        registry.removeAll(List.of(name("a")), DEADLINE, START);

        put("a");

        assertThat(registry.removeExpired(START.plus(Duration.ofMinutes(1)))).isEmpty();
        assertThat(registry.find(name("a"))).isPresent();
    }

    @Test
    void massRemovalIsDelayed() {
        put(names(8));

        ServerRegistry.Removals removals = registry.removeAll(
                IntStream.range(0, 5).mapToObj(i -> name("s" + i)).toList(), NO_OUTAGE, START);

        assertThat(removals.removed()).isEmpty();
        assertThat(removals.deferred()).hasSize(5);
        assertThat(registry.servers()).hasSize(8);
    }

    @Test
    void drainingServerIsRemovedAtOnceEvenAfterStoreOutage() {
        registry.put(ServerBuilder.entry("a").draining().build());
        put("b");

        assertThat(registry.removeAll(List.of(name("a")), DEADLINE, START).removed())
                .containsExactly(name("a"));
    }

    @Test
    void entryOfAnEarlierIncarnationIsIgnored() {
        registry.put(ServerBuilder.entry("a").incarnation(7).build());

        assertThat(registry.put(
                        ServerBuilder.entry("a").incarnation(6).draining().build()))
                .isFalse();

        assertThat(registry.find(name("a")).orElseThrow().draining()).isFalse();
    }

    @Test
    void serversMissingFromAListingAreRemoved() {
        put("a", "b");

        registry.replaceAll(List.of(ServerBuilder.entry("b").build()), NO_OUTAGE, START);

        assertThat(registry.servers()).extracting(RegisteredServer::name).containsExactly(name("b"));
    }

    private void put(String... names) {
        for (String n : names) {
            registry.put(ServerBuilder.entry(n).build());
        }
    }

    private static String[] names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "s" + i).toArray(String[]::new);
    }

    private static BackendServerName name(String n) {
        return new BackendServerName(n);
    }
}
