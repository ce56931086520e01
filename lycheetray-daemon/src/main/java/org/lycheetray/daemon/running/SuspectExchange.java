package org.lycheetray.daemon.running;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.once.PoisonRequestDetector;
import org.lycheetray.core.once.SuspectRecord;
import org.lycheetray.core.once.SuspectRecordCodec;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.platform.TableService;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import org.lycheetray.protocol.generated.SuspectNews;
import org.lycheetray.protocol.generated.SuspectsNoted;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;
import reactor.util.retry.Retry;

/**
 * Sends records of requests that are suspected of crashing servers to all entry VMs, and stores them in a table for VMs
 * that start later.
 *
 * <p>Each way suffices to quarantine a request; using both covers an outage of the store as well as a network
 * partition.
 */
public final class SuspectExchange {
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_RETRY_DELAY = Duration.ofSeconds(5);
    private static final int MAX_WRITE_ATTEMPTS = 3;

    private final Incarnation localIncarnation;
    private final PeerNetwork peers;
    private final TableService tables;
    private final ConfigView config;
    private final Clock clock;
    private volatile Consumer<Collection<SuspectRecord>> listener = r -> {};

    /**
     * Creates the exchange and registers its handler with the peer network.
     *
     * @param localIncarnation incarnation of this process
     * @param peers network to other VMs
     * @param tables table service that stores the records
     * @param config configuration with the addresses of other VMs
     * @param clock clock of the process
     */
    public SuspectExchange(
            Incarnation localIncarnation, PeerNetwork peers, TableService tables, ConfigView config, Clock clock) {
        this.localIncarnation = localIncarnation;
        this.peers = peers;
        this.tables = tables;
        this.config = config;
        this.clock = clock;
        peers.registerHandler(Request._Fields.SUSPECT_NEWS, (from, request) -> {
            listener.accept(decode(request.getSuspectNews().getRecords()));
            return Mono.just(Reply.suspectsNoted(new SuspectsNoted()));
        });
    }

    /**
     * Sets the listener and passes it the records stored in the table; the read is retried until it succeeds.
     *
     * @param l receives records from peers and from the table; called on any thread
     */
    void subscribe(Consumer<Collection<SuspectRecord>> l) {
        listener = l;
        var _ = tables.scanAll(PoisonRequestDetector.PREFIX)
                .collectList()
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, READ_RETRY_DELAY))
                .subscribe(rows -> l.accept(decode(rows.stream().map(Row::value).toList())), e -> {});
    }

    /**
     * Sends records to all other VMs and, in the background, to the table.
     *
     * @param records the records
     * @return completes when every other VM has acknowledged them or its time-out has passed; never signals an error
     */
    Mono<Void> publish(List<SuspectRecord> records) {
        if (records.isEmpty()) {
            return Mono.empty();
        }
        List<String> texts = records.stream().map(SuspectRecordCodec::encode).toList();
        Request update = Request.suspectNews(new SuspectNews(new ArrayList<>(texts)));
        var _ = Flux.fromIterable(records)
                .concatMap(r -> store(r, MAX_WRITE_ATTEMPTS).onErrorResume(e -> Mono.empty()))
                .subscribe();
        List<Vm> others = config.active().stream()
                .flatMap(c -> c.manifest().vms().stream())
                .filter(vm -> !vm.name().equals(localIncarnation.vm()))
                .toList();
        return Flux.fromIterable(others).flatMap(vm -> notifyPeer(vm, update)).then();
    }

    private Mono<Reply> notifyPeer(Vm vm, Request update) {
        return peers.call(vm.peerEndpoint(), update, PEER_TIMEOUT).onErrorResume(e -> Mono.empty());
    }

    private Mono<WriteResult> store(SuspectRecord r, int attemptsLeft) {
        RowKey key = new RowKey(PoisonRequestDetector.PREFIX + r.digest());
        return tables.read(key)
                .flatMap(row -> tables.write(List.of(createChange(key, row, r)))
                        .filter(w -> !(w instanceof WriteResult.Conflict) || attemptsLeft <= 1)
                        .switchIfEmpty(Mono.defer(() -> store(r, attemptsLeft - 1))));
    }

    private RowChange createChange(RowKey key, Optional<Row> row, SuspectRecord r) {
        Instant now = clock.instant();
        SuspectRecord merged = row.flatMap(x -> SuspectRecordCodec.decode(x.value()))
                .filter(x -> !x.isExpired(now))
                .map(r::merge)
                .orElse(r);
        long revision = row.map(Row::revision).orElse(RowChange.ABSENT);
        return merged.crashes().isEmpty() && row.isPresent()
                ? new RowChange.Delete(key, revision)
                : new RowChange.Put(key, revision, SuspectRecordCodec.encode(merged));
    }

    private static List<SuspectRecord> decode(List<String> texts) {
        return texts.stream()
                .map(SuspectRecordCodec::decode)
                .flatMap(Optional::stream)
                .toList();
    }
}
