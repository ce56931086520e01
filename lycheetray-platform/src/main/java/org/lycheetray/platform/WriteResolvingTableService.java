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
 * Decorates a table service to resolve writes of unknown result, by repeating them and reading the rows back.
 *
 * <p>A write that expects an exact revision is safe to repeat: once one attempt has been applied, the condition of every
 * other attempt fails. If a repeated write conflicts, the current rows show whether an earlier attempt was applied. This
 * requires that each put value is unique to the writer, for example by containing an attempt or submission id. A write
 * in which no put or delete expects an exact revision is not repeated.
 */
public final class WriteResolvingTableService implements TableService {
    private final TableService tables;
    private final int maxRepeats;
    private final Duration pause;

    /**
     * Creates a decorator around a table service.
     *
     * @param tables performs the calls
     * @param maxRepeats maximum number of repetitions of a write whose result is unknown, 0 to never repeat
     * @param pause delay before each repetition
     */
    public WriteResolvingTableService(TableService tables, int maxRepeats, Duration pause) {
        this.tables = tables;
        this.maxRepeats = maxRepeats;
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
                .flatMap(r -> r instanceof WriteResult.Unknown u ? resolve(copy, u, maxRepeats) : Mono.just(r));
    }

    private Mono<WriteResult> resolve(List<RowChange> changes, WriteResult.Unknown unknown, int left) {
        if (left == 0 || !isSafeToRepeat(changes)) {
            return Mono.just(unknown);
        }
        return Mono.delay(pause)
                .then(tables.write(changes))
                .onErrorReturn(PlatformException.class, unknown)
                .flatMap(r -> switch (r) {
                    case WriteResult.Applied a -> Mono.just(a);
                    case WriteResult.Unknown _ -> resolve(changes, unknown, left - 1);
                    case WriteResult.Conflict c -> resolveFromRows(changes, c, unknown);
                });
    }

    private static boolean isSafeToRepeat(List<RowChange> changes) {
        return changes.stream().anyMatch(c -> !(c instanceof RowChange.Check) && c.expectedRevision() >= 0);
    }

    private Mono<WriteResult> resolveFromRows(
            List<RowChange> changes, WriteResult.Conflict conflict, WriteResult.Unknown unknown) {
        return Flux.fromIterable(changes)
                .ofType(RowChange.Put.class)
                .concatMap(p -> tables.read(p.key()).map(row -> Evidence.of(p, row)))
                .filter(e -> e.verdict() != Verdict.NONE)
                .next()
                .<WriteResult>map(
                        e -> e.verdict() == Verdict.APPLIED ? new WriteResult.Applied(e.revision()) : conflict)
                .defaultIfEmpty(unknown)
                .onErrorReturn(PlatformException.class, unknown);
    }

    private enum Verdict {
        APPLIED,
        NOT_APPLIED,
        NONE
    }

    /** What one row shows about the write; a missing row or one overwritten by another write shows nothing. */
    private record Evidence(Verdict verdict, long revision) {
        static Evidence of(RowChange.Put put, Optional<Row> row) {
            if (row.isEmpty()) {
                return new Evidence(Verdict.NONE, 0);
            }
            long revision = row.get().revision();
            if (revision == put.expectedRevision()) {
                return new Evidence(Verdict.NOT_APPLIED, revision);
            }
            boolean sameValue = row.get().value().equals(put.value());
            return new Evidence(sameValue ? Verdict.APPLIED : Verdict.NONE, revision);
        }
    }
}
