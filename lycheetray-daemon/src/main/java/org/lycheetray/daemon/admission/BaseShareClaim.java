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
 * Claims the base share of this VM in the table service, so that only one process uses it.
 *
 * <p>A process without a predecessor on the VM may use the share at once. Otherwise the share stays unused until all
 * loans that the predecessor may have issued have expired. While the table service cannot be reached, the process has
 * no base share and depends on loans from other VMs.
 */
final class BaseShareClaim {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final Incarnation localIncarnation;
    private final TableService tables;
    private final ControlThread control;
    private final MonotonicTime loansExpiredAt;
    private final MonotonicTime startedAt;
    private final Consumer<MonotonicTime> onClaimed;

    BaseShareClaim(
            Incarnation localIncarnation,
            TableService tables,
            ControlThread control,
            MonotonicTime startedAt,
            Duration maxLoanLifetime,
            Consumer<MonotonicTime> onClaimed) {
        this.localIncarnation = localIncarnation;
        this.tables = tables;
        this.control = control;
        this.startedAt = startedAt;
        this.loansExpiredAt = startedAt.plus(maxLoanLifetime);
        this.onClaimed = onClaimed;
    }

    void claim() {
        var _ = tables.read(ShareRow.key(localIncarnation.vm()))
                .flatMap(this::writeClaim)
                .publishOn(control.scheduler())
                .subscribe(onClaimed, this::retryLater);
    }

    private Mono<MonotonicTime> writeClaim(Optional<Row> row) {
        Optional<Incarnation> holder = row.map(r -> ShareRow.parse(r).holder());
        if (holder.filter(localIncarnation::equals).isPresent()) {
            return Mono.just(loansExpiredAt);
        }
        MonotonicTime from = holder.isEmpty() ? startedAt : loansExpiredAt;
        return tables.write(List.of(ShareRow.claim(localIncarnation.vm(), row, localIncarnation)))
                .flatMap(result -> switch (result) {
                    case WriteResult.Applied _ -> Mono.just(from);
                    case WriteResult.Conflict _ ->
                        Mono.error(new IllegalStateException("row of the base share was changed by another process"));
                    case WriteResult.Unknown u ->
                        Mono.error(new IllegalStateException("result of the write is unknown: " + u.cause()));
                });
    }

    private void retryLater(Throwable e) {
        LogEvent.of("share-not-claimed")
                .with("step", "claim-base-share")
                .with("peer", "table-service")
                .with("cause", e)
                .warn();
        var _ = control.schedule("claim-base-share", RETRY_DELAY, this::claim);
    }
}
