package org.lycheetray.core.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;

/** An in-memory table with conditional writes. */
final class TestTable {
    private final Map<RowKey, Row> rows = new TreeMap<>();
    private long revision;

    Optional<Row> read(RowKey key) {
        return Optional.ofNullable(rows.get(key));
    }

    List<Row> scan(String prefix) {
        return rows.values().stream()
                .filter(r -> r.key().value().startsWith(prefix))
                .toList();
    }

    WriteResult write(List<RowChange> changes) {
        if (!changes.stream().allMatch(this::matches)) {
            return new WriteResult.Conflict(
                    changes.stream().flatMap(c -> read(c.key()).stream()).toList());
        }
        revision++;
        for (RowChange c : changes) {
            if (c instanceof RowChange.Put p) {
                rows.put(p.key(), new Row(p.key(), revision, p.value()));
            }
        }
        return new WriteResult.Applied(revision);
    }

    private boolean matches(RowChange c) {
        return c.expectedRevision() == read(c.key()).map(Row::revision).orElse(RowChange.ABSENT);
    }
}
