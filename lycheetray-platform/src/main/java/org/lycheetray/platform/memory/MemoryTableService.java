package org.lycheetray.platform.memory;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.ScanPage;
import org.lycheetray.platform.TableService;
import reactor.core.publisher.Mono;

/** In-memory table service with linearizable operations. */
public final class MemoryTableService implements TableService {
    private final NavigableMap<RowKey, Row> rows = new TreeMap<>();
    private final FaultInjector faults;
    private long revision;

    /** Creates an empty table without faults. */
    public MemoryTableService() {
        this(new FaultInjector(0));
    }

    /**
     * Creates an empty table.
     *
     * @param faults faults applied to every call
     */
    public MemoryTableService(FaultInjector faults) {
        this.faults = faults;
    }

    @Override
    public Mono<Optional<Row>> read(RowKey key) {
        return faults.apply("table.read", Mono.fromSupplier(() -> readNow(key)));
    }

    @Override
    public Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit) {
        requireLimit(limit);
        return faults.apply("table.scan", Mono.fromSupplier(() -> scanNow(prefix, after, limit)));
    }

    @Override
    public Mono<WriteResult> write(List<RowChange> changes) {
        List<RowChange> copy = List.copyOf(changes);
        requireDistinct(copy);
        return faults.apply("table.write", Mono.fromSupplier(() -> {
            WriteResult r = writeNow(copy);
            return faults.shouldLoseAnswer() ? new WriteResult.Unknown("answer lost") : r;
        }));
    }

    private synchronized Optional<Row> readNow(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    private synchronized ScanPage scanNow(String prefix, Optional<RowKey> after, int limit) {
        RowKey start = after.filter(a -> a.value().compareTo(prefix) >= 0).orElse(new RowKey(prefix));
        List<Row> found = rows.tailMap(start, after.isEmpty() || !start.equals(after.get())).values().stream()
                .takeWhile(r -> r.key().value().startsWith(prefix))
                .limit(limit + 1L)
                .toList();
        if (found.size() <= limit) {
            return new ScanPage(found, Optional.empty());
        }
        return new ScanPage(
                found.subList(0, limit), Optional.of(found.get(limit - 1).key()));
    }

    private synchronized WriteResult writeNow(List<RowChange> changes) {
        List<RowChange> failed =
                changes.stream().filter(c -> !isConditionMet(c)).toList();
        if (!failed.isEmpty()) {
            return conflict(failed);
        }
        revision++;
        for (RowChange c : changes) {
            apply(c);
        }
        return new WriteResult.Applied(revision);
    }

    private boolean isConditionMet(RowChange c) {
        Row present = rows.get(c.key());
        long actual = present == null ? RowChange.ABSENT : present.revision();
        return c.expectedRevision() == RowChange.ANY || c.expectedRevision() == actual;
    }

    private WriteResult conflict(List<RowChange> failed) {
        List<Row> present = new ArrayList<>();
        for (RowChange c : failed) {
            Row row = rows.get(c.key());
            if (row != null) {
                present.add(row);
            }
        }
        return new WriteResult.Conflict(present);
    }

    private void apply(RowChange c) {
        switch (c) {
            case RowChange.Put p -> rows.put(p.key(), new Row(p.key(), revision, p.value()));
            case RowChange.Delete d -> rows.remove(d.key());
            case RowChange.Check _ -> {}
        }
    }

    private static void requireLimit(int limit) {
        if (limit < 1 || limit > MAX_SCAN_ROWS) {
            throw new IllegalArgumentException("limit out of range 1 to %d: %d".formatted(MAX_SCAN_ROWS, limit));
        }
    }

    private static void requireDistinct(List<RowChange> changes) {
        if (changes.isEmpty()) {
            throw new IllegalArgumentException("a write needs at least one change");
        }
        Set<RowKey> keys = new HashSet<>();
        for (RowChange c : changes) {
            if (!keys.add(c.key())) {
                throw new IllegalArgumentException("more than one change of " + c.key());
            }
        }
    }
}
