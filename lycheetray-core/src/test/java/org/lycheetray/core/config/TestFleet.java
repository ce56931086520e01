package org.lycheetray.core.config;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Simulated VMs that share one table. Messages and table calls take effect in random order, with delays, or are lost.
 */
final class TestFleet {
    static final int KEY_COUNT = 64;

    /** One process of a VM. */
    final class Node {
        final Vm vm;
        final Incarnation incarnation;
        final ConfigTracker keeper;
        final Map<Incarnation, PeerConfigState> views = new HashMap<>();

        Node(Vm vm) {
            this.vm = vm;
            incarnation = new Incarnation(vm.name(), ++incarnations);
            keeper = new ConfigTracker(incarnation, vm.dataCentre());
        }

        private void handle(ConfigEvent event) {
            if (nodes.get(vm) != this) {
                return;
            }
            for (ConfigEffect effect : keeper.handle(event, now)) {
                if (effect instanceof ConfigEffect.Fetch f) {
                    enqueueReliable(() -> fetch(f));
                }
            }
        }

        private void fetch(ConfigEffect.Fetch f) {
            Optional<LoadedConfig> found = reachesStore()
                    ? Optional.ofNullable(objects.get(f.ref()))
                    : f.peer()
                            .flatMap(p -> nodes.values().stream()
                                    .filter(n -> n.vm.name().equals(p) && reaches(n))
                                    .flatMap(n -> n.keeper.manifest(f.ref()).stream())
                                    .map(m -> new LoadedConfig(f.ref(), m))
                                    .findFirst());
            ConfigEvent answer = found.<ConfigEvent>map(l -> new ConfigEvent.ManifestLoaded(l.ref(), l.manifest()))
                    .orElse(new ConfigEvent.ManifestFailed(f.ref()));
            enqueueReliable(() -> handle(answer));
        }

        private boolean reachesStore() {
            return storeUp && !isolatedDataCentres.contains(vm.dataCentre()) && !(splitInHalves && isInIsolatedHalf());
        }

        private boolean isInIsolatedHalf() {
            return vms.indexOf(vm) % 2 == 1;
        }

        private boolean reaches(Node o) {
            if (splitInHalves && isInIsolatedHalf() != o.isInIsolatedHalf()) {
                return false;
            }
            return vm.dataCentre().equals(o.vm.dataCentre())
                    || !(isolatedDataCentres.contains(vm.dataCentre())
                            || isolatedDataCentres.contains(o.vm.dataCentre()));
        }

        void poll() {
            MonotonicTime sentAt = now;
            enqueue(() -> callTable(() -> table.read(ConfigRows.HEAD_KEY).ifPresent(row -> {
                ConfigHead head = ConfigRows.decodeHead(row).get();
                enqueue(() -> handle(new ConfigEvent.HeadRead(head, sentAt)));
            })));
        }

        void probe(Node peer) {
            MonotonicTime sentAt = now;
            enqueue(() -> {
                if (reaches(peer) && nodes.get(peer.vm) == peer) {
                    PeerConfigState view = peer.keeper.localState(now);
                    enqueue(() -> {
                        views.put(view.incarnation(), view);
                        handle(new ConfigEvent.ProbeAnswered(view, sentAt));
                    });
                }
            });
        }

        void register() {
            enqueue(() -> callTable(() -> {
                Optional<Row> row = table.read(ConfigRows.votersKey(vm.dataCentre()));
                Optional<List<RowChange>> write = ConfigLeaderPlanner.planRegistration(
                                incarnation, vm.dataCentre(), row, Instant.EPOCH)
                        .get();
                if (write.isEmpty()) {
                    enqueue(() -> handle(new ConfigEvent.Registered(now)));
                } else if (nodes.get(vm) == this) {
                    enqueue(() -> callTable(() -> table.write(write.get())));
                }
            }));
        }

        void runLeaderRound() {
            callTable(() -> {
                Optional<Row> voters = table.read(ConfigRows.votersKey(vm.dataCentre()));
                List<Row> acks = table.scan(ConfigRows.ACK_PREFIX);
                enqueue(() -> callTable(() -> table.read(ConfigRows.HEAD_KEY).ifPresent(head -> {
                    views.put(incarnation, keeper.localState(now));
                    ConfigTableSnapshot read = new ConfigTableSnapshot(head, voters, acks, Optional.empty());
                    for (List<RowChange> write : ConfigLeaderPlanner.planWrites(
                                    vm.dataCentre(), read, keeper, views.values())
                            .get()) {
                        enqueue(() -> callTable(() -> write(write)));
                    }
                })));
            });
        }

        private void callTable(Runnable call) {
            if (reachesStore()) {
                call.run();
            }
        }
    }

    final Random random;
    final Map<Vm, Node> nodes = new HashMap<>();
    final TestTable table = new TestTable();
    final Map<ConfigRef, LoadedConfig> objects = new HashMap<>();
    final Map<ConfigVersion, MonotonicTime> acceptedAt = new HashMap<>();
    final Set<DataCentreName> isolatedDataCentres = new HashSet<>();
    MonotonicTime now = MonotonicTime.ZERO;
    boolean storeUp = true;
    /** True while every second VM reaches neither the store nor the VMs of the other half. */
    boolean splitInHalves;

    private final List<Vm> vms;

    private record InFlight(Runnable effect, boolean mayBeLost) {}

    private final List<InFlight> inFlight = new ArrayList<>();
    private long incarnations;

    TestFleet(long seed, int dataCentres, int perDataCentre) {
        random = new Random(seed);
        vms = TestManifests.vms(dataCentres, perDataCentre);
        submit(vms);
        vms.forEach(this::restart);
    }

    void restart(Vm vm) {
        nodes.put(vm, new Node(vm));
    }

    Node anyNode() {
        return nodes.get(vms.get(random.nextInt(vms.size())));
    }

    List<Vm> vms() {
        return vms;
    }

    ConfigHead head() {
        return ConfigRows.decodeHead(table.read(ConfigRows.HEAD_KEY).orElseThrow())
                .get();
    }

    /** Submits a version that withdraws one more key than the previous one. */
    SubmitResult submit(List<Vm> declared) {
        ConfigVersion base = table.read(ConfigRows.HEAD_KEY)
                .map(r -> ConfigRows.decodeHead(r).get().version())
                .orElse(ConfigVersion.NONE);
        LoadedConfig next = TestManifests.loaded(
                base.next().number(),
                TestManifests.withKeysWithdrawn(declared, base.next().number(), KEY_COUNT));
        Submitter submitter =
                new Submitter(base, next.ref().digest(), new Submission("s-" + base, "op", Instant.EPOCH));
        SubmitEffect effect = submitter.start();
        while (!(effect instanceof SubmitEffect.Finished)) {
            effect = submitter.handle(perform(effect, next));
        }
        return ((SubmitEffect.Finished) effect).result();
    }

    private SubmitEvent perform(SubmitEffect effect, LoadedConfig next) {
        return switch (effect) {
            case SubmitEffect.ReadHead _ -> new SubmitEvent.HeadRead(table.read(ConfigRows.HEAD_KEY));
            case SubmitEffect.PutObject p -> {
                objects.put(p.ref(), next);
                yield new SubmitEvent.ObjectStored();
            }
            case SubmitEffect.Write w -> new SubmitEvent.Written(write(w.changes()));
            case SubmitEffect.ReadVersion r -> new SubmitEvent.VersionRead(table.read(r.key()));
            case SubmitEffect.Finished _ ->
                throw new IllegalStateException("finished submission has no effect to perform");
        };
    }

    private WriteResult write(List<RowChange> changes) {
        WriteResult result = table.write(changes);
        table.read(ConfigRows.HEAD_KEY)
                .ifPresent(r -> acceptedAt.putIfAbsent(head().accepted().version(), now));
        return result;
    }

    void enqueue(Runnable r) {
        inFlight.add(new InFlight(r, true));
    }

    /** Enqueues an action that is never lost: a fetch always ends with a result, at the latest by its timeout. */
    private void enqueueReliable(Runnable r) {
        inFlight.add(new InFlight(r, false));
    }

    void advanceTime(Duration d) {
        now = now.plus(d);
    }

    /** Runs or loses one random action in flight. */
    void deliver(boolean mayLose) {
        if (!inFlight.isEmpty()) {
            InFlight one = inFlight.remove(random.nextInt(inFlight.size()));
            if (!mayLose || !one.mayBeLost() || random.nextInt(10) > 0) {
                one.effect().run();
            }
        }
    }

    void deliverAll() {
        while (!inFlight.isEmpty()) {
            deliver(false);
        }
    }
}
