package org.lycheetray.daemon.admission;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.platform.TableService;
import reactor.core.publisher.Mono;

/**
 * Claims the VM's base share in the table service before this process uses it.
 *
 * <p>A process without a predecessor may use the share at once. Otherwise the share rests until whatever the
 * predecessor has lent is back. While the table service cannot be reached the process has no base share and lives on
 * loans.
 */
final class OwnShare {
    private static final Duration RETRY_PAUSE = Duration.ofSeconds(1);

    private final Incarnation self;
    private final TableService tables;
    private final ControlThread control;
    private final MonotonicTime restEnd;
    private final MonotonicTime started;
    private final Consumer<MonotonicTime> claimed;

    OwnShare(
            Incarnation self,
            TableService tables,
            ControlThread control,
            MonotonicTime started,
            Duration rest,
            Consumer<MonotonicTime> claimed) {
        this.self = self;
        this.tables = tables;
        this.control = control;
        this.started = started;
        this.restEnd = started.plus(rest);
        this.claimed = claimed;
    }

    void claim() {
        var _ = tables.read(ShareRow.key(self.vm()))
                .flatMap(this::take)
                .publishOn(control.scheduler())
                .subscribe(claimed, this::failed);
    }

    private Mono<MonotonicTime> take(Optional<Row> row) {
        Optional<Incarnation> holder = row.map(r -> ShareRow.parse(r).holder());
        if (holder.filter(self::equals).isPresent()) {
            return Mono.just(restEnd);
        }
        MonotonicTime from = holder.isEmpty() ? started : restEnd;
        return tables.write(List.of(ShareRow.take(self.vm(), row, self))).flatMap(result -> switch (result) {
            case WriteResult.Applied _ -> Mono.just(from);
            case WriteResult.Conflict _ -> Mono.error(new IllegalStateException("another process took the row"));
            case WriteResult.Unknown u -> Mono.error(new IllegalStateException("write in doubt: " + u.cause()));
        });
    }

    private void failed(Throwable e) {
        LogEvent.of("share-not-claimed")
                .with("step", "claim-base-share")
                .with("peer", "table-service")
                .with("cause", e)
                .warn();
        var _ = control.after("claim-base-share", RETRY_PAUSE, this::claim);
    }
}
