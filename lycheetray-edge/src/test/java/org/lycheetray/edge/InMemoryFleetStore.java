package org.lycheetray.edge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.VmName;
import org.lycheetray.edge.store.FleetStore;
import org.lycheetray.edge.store.RecordBatch;
import org.lycheetray.edge.store.StoreRecord;
import org.lycheetray.edge.store.Topic;
import reactor.core.publisher.Mono;
import reactor.core.publisher.Sinks;

/** Fleet store in memory whose records are written by tests. */
final class InMemoryFleetStore implements FleetStore {
    private static final Duration POLL = Duration.ofMillis(10);

    private record Entry(long version, StoreRecord record) {}

    private final Map<Topic, List<Entry>> history = new EnumMap<>(Topic.class);
    private final List<FleetMember> members;
    private final Sinks.Empty<Void> closed = Sinks.empty();
    private long version;
    private long era = 1;

    InMemoryFleetStore() {
        this(new CopyOnWriteArrayList<>());
    }

    /** Creates a store that shares the records of VMs with another, but not those of servers and configurations. */
    InMemoryFleetStore(InMemoryFleetStore fleet) {
        this(fleet.members);
    }

    private InMemoryFleetStore(List<FleetMember> members) {
        this.members = members;
        for (Topic t : Topic.values()) {
            history.put(t, new ArrayList<>());
        }
    }

    synchronized void write(Topic topic, StoreRecord... records) {
        version++;
        for (StoreRecord r : records) {
            history.get(topic).add(new Entry(version, r));
        }
    }

    /** Loses the records of all VMs, and starts a new era. */
    synchronized void restoreWithoutMembers() {
        members.clear();
        era++;
    }

    synchronized int memberCount() {
        return members.size();
    }

    FleetMember member(String name) {
        return members.stream()
                .filter(m -> m.vm().value().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private synchronized RecordBatch after(Topic topic, long from) {
        List<StoreRecord> records = history.get(topic).stream()
                .filter(e -> e.version() > from)
                .map(Entry::record)
                .toList();
        return new RecordBatch(records, version, records.isEmpty() ? 0 : version, era);
    }

    @Override
    public Mono<RecordBatch> readAll(Topic topic) {
        return Mono.fromSupplier(() -> after(topic, 0));
    }

    @Override
    public Mono<RecordBatch> awaitChanges(Topic topic, long from, Duration wait) {
        return Mono.fromSupplier(() -> after(topic, from))
                .delayElement(POLL)
                .repeat()
                .takeUntilOther(closed.asMono())
                .filter(r -> !r.records().isEmpty())
                .next()
                .timeout(wait, Mono.fromSupplier(() -> after(topic, from)));
    }

    @Override
    public synchronized Mono<List<FleetMember>> readMembers() {
        return Mono.just(List.copyOf(members));
    }

    @Override
    public synchronized Mono<Void> registerMember(FleetMember member) {
        members.add(member);
        return Mono.empty();
    }

    @Override
    public synchronized Mono<Void> removeMember(VmName vm) {
        members.removeIf(m -> m.vm().equals(vm));
        return Mono.empty();
    }

    @Override
    public void close() {
        closed.tryEmitEmpty();
    }
}
