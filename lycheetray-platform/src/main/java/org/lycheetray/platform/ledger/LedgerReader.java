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

/** Reads ledger segments in the order of their names, and reports objects that are not valid segments. */
public final class LedgerReader {
    private static final int MAX_CONCURRENT_READS = 8;

    private final ObjectStore objects;

    /**
     * Creates a reader.
     *
     * @param objects object store with the segments
     */
    public LedgerReader(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Reads all segments that can contain requests of a period. Whole days are read, so that segments outside the period
     * are included.
     *
     * @param from start of the period
     * @param to end of the period, exclusive
     * @return the segments
     */
    public Flux<Either<UnreadableSegment, LedgerSegment>> readPeriod(Instant from, Instant to) {
        return Flux.fromIterable(LedgerNames.days(from, to)).concatMap(day -> read(LedgerNames.prefix(day)));
    }

    /**
     * Reads the segments of one incarnation of an entry VM.
     *
     * @param incarnation the incarnation, whose number is its start time in epoch milliseconds
     * @param to end of the period to read
     * @return the segments in the order in which they were written
     */
    public Flux<Either<UnreadableSegment, LedgerSegment>> readIncarnation(Incarnation incarnation, Instant to) {
        return Flux.fromIterable(LedgerNames.days(Instant.ofEpochMilli(incarnation.number()), to))
                .concatMap(day -> read(LedgerNames.prefix(day, incarnation)));
    }

    private Flux<Either<UnreadableSegment, LedgerSegment>> read(String prefix) {
        return objects.listAll(prefix).flatMapSequential(this::readSegment, MAX_CONCURRENT_READS);
    }

    private Mono<Either<UnreadableSegment, LedgerSegment>> readSegment(String name) {
        return objects.get(name).map(o -> decode(o).mapLeft(problem -> new UnreadableSegment(name, problem)));
    }

    private static Either<String, LedgerSegment> decode(Optional<byte[]> content) {
        return content.isEmpty()
                ? Either.left("object is listed but does not exist")
                : LedgerCodec.decode(content.get());
    }
}
