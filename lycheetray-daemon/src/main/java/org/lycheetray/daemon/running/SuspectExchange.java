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
 * Passes suspects to all entry VMs and keeps them in the table for VMs that start later.
 *
 * <p>Either way alone is enough to quarantine a request; both together bridge a store outage and a network partition.
 */
public final class SuspectExchange {
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(500);
    private static final Duration READ_RETRY = Duration.ofSeconds(5);
    private static final int WRITE_TRIES = 3;

    private final Incarnation self;
    private final PeerNetwork peers;
    private final TableService tables;
    private final ConfigView config;
    private final Clock clock;
    private volatile Consumer<Collection<SuspectRecord>> listener = r -> {};

    /**
     * Creates the exchange and registers it with the peer network.
     *
     * @param self this process
     * @param peers reaches other VMs
     * @param tables keeps the rows
     * @param config addresses of other VMs
     * @param clock clock of the process
     */
    public SuspectExchange(Incarnation self, PeerNetwork peers, TableService tables, ConfigView config, Clock clock) {
        this.self = self;
        this.peers = peers;
        this.tables = tables;
        this.config = config;
        this.clock = clock;
        peers.handle(Request._Fields.SUSPECT_NEWS, (from, request) -> {
            listener.accept(decode(request.getSuspectNews().getRecords()));
            return Mono.just(Reply.suspectsNoted(new SuspectsNoted()));
        });
    }

    /**
     * Sets who is told, and reads what the table holds.
     *
     * @param l receives records from peers and from the table, on any thread
     */
    void listen(Consumer<Collection<SuspectRecord>> l) {
        listener = l;
        var _ = tables.scanAll(PoisonRequestDetector.PREFIX)
                .collectList()
                .retryWhen(Retry.fixedDelay(Long.MAX_VALUE, READ_RETRY))
                .subscribe(rows -> l.accept(decode(rows.stream().map(Row::value).toList())), e -> {});
    }

    /**
     * Sends records to the fleet and, in the background, to the table.
     *
     * @param records the records
     * @return completes when every peer has noted them or had time enough; never an error
     */
    Mono<Void> publish(List<SuspectRecord> records) {
        if (records.isEmpty()) {
            return Mono.empty();
        }
        List<String> texts = records.stream().map(SuspectRecordCodec::encode).toList();
        Request news = Request.suspectNews(new SuspectNews(new ArrayList<>(texts)));
        var _ = Flux.fromIterable(records)
                .concatMap(r -> keep(r, WRITE_TRIES).onErrorResume(e -> Mono.empty()))
                .subscribe();
        List<Vm> others = config.active().stream()
                .flatMap(c -> c.manifest().vms().stream())
                .filter(vm -> !vm.name().equals(self.vm()))
                .toList();
        return Flux.fromIterable(others).flatMap(vm -> tell(vm, news)).then();
    }

    private Mono<Reply> tell(Vm vm, Request news) {
        return peers.call(vm.peerEndpoint(), news, PEER_TIMEOUT).onErrorResume(e -> Mono.empty());
    }

    private Mono<WriteResult> keep(SuspectRecord r, int tries) {
        RowKey key = new RowKey(PoisonRequestDetector.PREFIX + r.digest());
        return tables.read(key)
                .flatMap(row -> tables.write(List.of(change(key, row, r)))
                        .filter(w -> !(w instanceof WriteResult.Conflict) || tries <= 1)
                        .switchIfEmpty(Mono.defer(() -> keep(r, tries - 1))));
    }

    private RowChange change(RowKey key, Optional<Row> row, SuspectRecord r) {
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
