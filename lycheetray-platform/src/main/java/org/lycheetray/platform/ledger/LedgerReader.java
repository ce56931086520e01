package org.lycheetray.platform.ledger;

import io.vavr.control.Either;
import java.time.Instant;
import java.util.Optional;
import org.lycheetray.core.ledger.LedgerCodec;
import org.lycheetray.core.ledger.LedgerNames;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.platform.ObjectStore;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Reads segments in the order of their names; an object that is no segment is passed on as such. */
public final class LedgerReader {
    private static final int PARALLEL_READS = 8;

    private final ObjectStore objects;

    /**
     * Creates a reader.
     *
     * @param objects holds the segments
     */
    public LedgerReader(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Reads all segments that can hold requests of a period, and those of the whole days around it.
     *
     * @param from start of the period
     * @param to its end, excluded
     * @return the segments
     */
    public Flux<Either<UnreadableSegment, LedgerSegment>> period(Instant from, Instant to) {
        return Flux.fromIterable(LedgerNames.days(from, to)).concatMap(day -> read(LedgerNames.prefix(day)));
    }

    /**
     * Reads the segments of one process.
     *
     * @param incarnation the process
     * @param to point after which it wrote nothing of interest
     * @return the segments in the order of writing
     */
    public Flux<Either<UnreadableSegment, LedgerSegment>> process(Incarnation incarnation, Instant to) {
        return Flux.fromIterable(LedgerNames.days(Instant.ofEpochMilli(incarnation.number()), to))
                .concatMap(day -> read(LedgerNames.prefix(day, incarnation)));
    }

    private Flux<Either<UnreadableSegment, LedgerSegment>> read(String prefix) {
        return objects.listAll(prefix).flatMapSequential(this::segment, PARALLEL_READS);
    }

    private Mono<Either<UnreadableSegment, LedgerSegment>> segment(String name) {
        return objects.get(name).map(o -> decode(o).mapLeft(problem -> new UnreadableSegment(name, problem)));
    }

    private static Either<String, LedgerSegment> decode(Optional<byte[]> content) {
        return content.isEmpty() ? Either.left("listed but not there") : LedgerCodec.decode(content.get());
    }
}
