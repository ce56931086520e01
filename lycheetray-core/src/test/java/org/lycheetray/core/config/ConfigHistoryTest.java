package org.lycheetray.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.lycheetray.core.config.TestFleet.Node;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Checks the configuration of a simulated fleet during random runs with restarts, partitions, store outages, and lost
 * and reordered messages. Guards against a VM that counts as fresh although it accepts a key that an accepted version
 * withdrew.
 */
class ConfigHistoryTest {
    private static final int STEPS = 1_500;

    private final Map<Node, ConfigVersion> installed = new HashMap<>();

    @Property(seed = "21", tries = 150, shrinking = ShrinkingMode.OFF)
    void evidenceCoversEveryAcceptedVersion(@ForAll long seed) {
        TestFleet fleet = new TestFleet(seed, 3 + (int) Long.remainderUnsigned(seed, 3), 2);
        for (int i = 0; i < STEPS; i++) {
            step(fleet);
            fleet.nodes.values().forEach(n -> checkNode(fleet, n));
        }
    }

    @Property(seed = "22", tries = 40, shrinking = ShrinkingMode.OFF)
    void healedFleetConvergesOnNewestVersion(@ForAll long seed) {
        TestFleet fleet = new TestFleet(seed, 5, 2);
        for (int i = 0; i < STEPS; i++) {
            step(fleet);
        }
        heal(fleet);
        ConfigHead head = fleet.head();
        assertThat(head.isPending()).isFalse();
        assertThat(fleet.nodes.values())
                .allSatisfy(n -> assertThat(n.keeper.effective().orElseThrow().accepted())
                        .isEqualTo(head.current()));
    }

    private static void step(TestFleet f) {
        f.advanceTime(Duration.ofMillis(f.random.nextInt(200)));
        int choice = f.random.nextInt(100);
        Node n = f.anyNode();
        if (choice < 50) {
            f.deliver(true);
        } else if (choice < 60) {
            n.poll();
        } else if (choice < 76) {
            n.probe(f.anyNode());
        } else if (choice < 82) {
            n.register();
        } else if (choice < 92) {
            n.runLeaderRound();
        } else if (choice < 93) {
            f.restart(n.vm);
        } else {
            injectFault(f, choice);
        }
    }

    private static void injectFault(TestFleet f, int choice) {
        switch (choice) {
            case 93, 94, 95 -> {
                if (f.storeUp && f.head().version().number() < TestFleet.KEY_COUNT - 2) {
                    f.submit(f.random.nextInt(4) > 0 ? f.vms() : vmsWithoutOneDataCentre(f));
                }
            }
            case 96 -> f.storeUp = f.random.nextInt(3) > 0;
            case 97 -> f.splitInHalves = f.random.nextInt(3) > 0;
            case 98 -> f.isolatedDataCentres.add(f.anyNode().vm.dataCentre());
            default -> f.isolatedDataCentres.clear();
        }
    }

    private static List<Vm> vmsWithoutOneDataCentre(TestFleet f) {
        int index = f.random.nextInt(f.vms().size());
        return f.vms().stream()
                .filter(v -> !v.dataCentre().equals(f.vms().get(index).dataCentre()))
                .toList();
    }

    private void checkNode(TestFleet f, Node n) {
        Optional<EffectiveConfig> effective = n.keeper.effective();
        if (effective.isEmpty()) {
            return;
        }
        ConfigVersion version = effective.get().version();
        ConfigVersion previous = installed.put(n, version);
        assertThat(previous == null || previous.compareTo(version) <= 0).isTrue();
        n.keeper.confirmedAt().ifPresent(c -> {
            List<KeyHash> valid =
                    effective.get().manifest().clientAccounts().getFirst().keyHashes();
            long newest = newestAcceptedBefore(f, c);
            for (int key = 0; key <= newest; key++) {
                assertThat(valid).doesNotContain(TestManifests.key(key));
            }
        });
    }

    private static long newestAcceptedBefore(TestFleet f, MonotonicTime confirmedAt) {
        return f.acceptedAt.entrySet().stream()
                .filter(e -> e.getValue().isBefore(confirmedAt))
                .mapToLong(e -> e.getKey().number())
                .max()
                .orElse(0);
    }

    private static void heal(TestFleet f) {
        f.storeUp = true;
        f.splitInHalves = false;
        f.isolatedDataCentres.clear();
        for (int round = 0; round < 6; round++) {
            for (Node n : f.nodes.values()) {
                n.register();
                n.poll();
                f.nodes.values().forEach(n::probe);
                f.deliverAll();
            }
            f.nodes.values().forEach(Node::runLeaderRound);
            f.deliverAll();
        }
    }
}
