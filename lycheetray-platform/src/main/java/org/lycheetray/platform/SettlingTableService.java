package org.lycheetray.platform;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * Resolves writes whose answer was lost by repeating and reading back.
 *
 * <p>A write on exact revisions can be repeated safely: once one copy took effect, every other copy fails its
 * condition. When a repetition fails, the rows tell whether an earlier copy took effect, provided that the value of
 * each put is unique to the writer (it holds an attempt or submission id). A write with {@link RowChange#ANY} on every
 * row is not repeated.
 */
public final class SettlingTableService implements TableService {
    private final TableService tables;
    private final int repeats;
    private final Duration pause;

    /**
     * Creates a decorator.
     *
     * @param tables performs the calls
     * @param repeats times that a write in doubt is repeated, 0 to leave it in doubt
     * @param pause time between repetitions
     */
    public SettlingTableService(TableService tables, int repeats, Duration pause) {
        this.tables = tables;
        this.repeats = repeats;
        this.pause = pause;
    }

    @Override
    public Mono<Optional<Row>> read(RowKey key) {
        return tables.read(key);
    }

    @Override
    public Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit) {
        return tables.scan(prefix, after, limit);
    }

    @Override
    public Mono<WriteResult> write(List<RowChange> changes) {
        List<RowChange> copy = List.copyOf(changes);
        return tables.write(copy)
                .flatMap(r -> r instanceof WriteResult.Unknown u ? settle(copy, u, repeats) : Mono.just(r));
    }

    private Mono<WriteResult> settle(List<RowChange> changes, WriteResult.Unknown doubt, int left) {
        if (left == 0 || !isRepeatable(changes)) {
            return Mono.just(doubt);
        }
        return Mono.delay(pause)
                .then(tables.write(changes))
                .onErrorReturn(PlatformException.class, doubt)
                .flatMap(r -> switch (r) {
                    case WriteResult.Applied a -> Mono.just(a);
                    case WriteResult.Unknown _ -> settle(changes, doubt, left - 1);
                    case WriteResult.Conflict c -> judge(changes, c, doubt);
                });
    }

    private static boolean isRepeatable(List<RowChange> changes) {
        return changes.stream().anyMatch(c -> !(c instanceof RowChange.Check) && c.expectedRevision() >= 0);
    }

    private Mono<WriteResult> judge(List<RowChange> changes, WriteResult.Conflict conflict, WriteResult.Unknown doubt) {
        return Flux.fromIterable(changes)
                .ofType(RowChange.Put.class)
                .concatMap(p -> tables.read(p.key()).map(row -> Evidence.of(p, row)))
                .filter(e -> e.verdict() != Verdict.NONE)
                .next()
                .<WriteResult>map(
                        e -> e.verdict() == Verdict.APPLIED ? new WriteResult.Applied(e.revision()) : conflict)
                .defaultIfEmpty(doubt)
                .onErrorReturn(PlatformException.class, doubt);
    }

    private enum Verdict {
        APPLIED,
        NOT_APPLIED,
        NONE
    }

    /** What one row says of the write; a row that others have overwritten says nothing. */
    private record Evidence(Verdict verdict, long revision) {
        static Evidence of(RowChange.Put put, Optional<Row> row) {
            if (row.isEmpty()) {
                return new Evidence(Verdict.NONE, 0);
            }
            long revision = row.get().revision();
            if (revision == put.expectedRevision()) {
                return new Evidence(Verdict.NOT_APPLIED, revision);
            }
            boolean own = row.get().value().equals(put.value());
            return new Evidence(own ? Verdict.APPLIED : Verdict.NONE, revision);
        }
    }
}
