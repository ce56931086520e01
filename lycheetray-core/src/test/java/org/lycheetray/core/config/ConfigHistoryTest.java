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

/** Checks whole histories of fleets under restarts, partitions, outages, lost and reordered messages. */
class ConfigHistoryTest {
    private static final int STEPS = 1_500;

    private final Map<Node, ConfigVersion> installed = new HashMap<>();

    @Property(seed = "21", tries = 150, shrinking = ShrinkingMode.OFF)
    void evidenceCoversAllThatWasAccepted(@ForAll long seed) {
        TestFleet fleet = new TestFleet(seed, 3 + (int) Long.remainderUnsigned(seed, 3), 2);
        for (int i = 0; i < STEPS; i++) {
            step(fleet);
            fleet.nodes.values().forEach(n -> check(fleet, n));
        }
    }

    @Property(seed = "22", tries = 40, shrinking = ShrinkingMode.OFF)
    void healedFleetAgreesOnNewest(@ForAll long seed) {
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
        f.pass(Duration.ofMillis(f.random.nextInt(200)));
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
            n.lead();
        } else if (choice < 93) {
            f.restart(n.vm);
        } else {
            disturb(f, choice);
        }
    }

    private static void disturb(TestFleet f, int choice) {
        switch (choice) {
            case 93, 94, 95 -> {
                if (f.storeUp && f.head().version().number() < TestFleet.KEYS - 2) {
                    f.submit(f.random.nextInt(4) > 0 ? f.vms() : someVms(f));
                }
            }
            case 96 -> f.storeUp = f.random.nextInt(3) > 0;
            case 97 -> f.halved = f.random.nextInt(3) > 0;
            case 98 -> f.cutOff.add(f.anyNode().vm.dataCentre());
            default -> f.cutOff.clear();
        }
    }

    private static List<Vm> someVms(TestFleet f) {
        int dropped = f.random.nextInt(f.vms().size());
        return f.vms().stream()
                .filter(v -> !v.dataCentre().equals(f.vms().get(dropped).dataCentre()))
                .toList();
    }

    private void check(TestFleet f, Node n) {
        Optional<EffectiveConfig> effective = n.keeper.effective();
        if (effective.isEmpty()) {
            return;
        }
        ConfigVersion version = effective.get().version();
        ConfigVersion before = installed.put(n, version);
        assertThat(before == null || before.compareTo(version) <= 0).isTrue();
        n.keeper.confirmedAt().ifPresent(c -> {
            List<KeyHash> valid =
                    effective.get().manifest().clientAccounts().getFirst().keyHashes();
            long newest = newestAcceptedBefore(f, c);
            for (int key = 0; key <= newest; key++) {
                assertThat(valid).doesNotContain(TestManifests.key(key));
            }
        });
    }

    private static long newestAcceptedBefore(TestFleet f, MonotonicTime c) {
        return f.acceptedAt.entrySet().stream()
                .filter(e -> e.getValue().isBefore(c))
                .mapToLong(e -> e.getKey().number())
                .max()
                .orElse(0);
    }

    private static void heal(TestFleet f) {
        f.storeUp = true;
        f.halved = false;
        f.cutOff.clear();
        for (int round = 0; round < 6; round++) {
            for (Node n : f.nodes.values()) {
                n.register();
                n.poll();
                f.nodes.values().forEach(n::probe);
                f.deliverAll();
            }
            f.nodes.values().forEach(Node::lead);
            f.deliverAll();
        }
    }
}
