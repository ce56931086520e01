package org.lycheetray.daemon.running;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lycheetray.core.once.ClaimExpiryWatermark;
import org.lycheetray.core.once.ClaimSweeper;
import org.lycheetray.core.once.SweepEffect;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.platform.ScanPage;
import org.lycheetray.platform.TableService;
import reactor.core.publisher.Mono;

/** Periodically deletes claims that are older than the claim horizon, in small batches. */
public final class ClaimCleanup {
    private static final Duration PERIOD = Duration.ofMinutes(1);

    private final TableService tables;
    private final ControlThread control;
    private final ClaimTableGate claims;
    private final ConfigView config;
    private final Clock clock;
    private final ClaimSweeper sweeper;

    /**
     * Creates a clean-up that is not yet started.
     *
     * @param tables table service that stores the claims
     * @param control thread that runs the sweeper
     * @param claims receives the raised claim expiry watermark
     * @param config configuration with the claim horizon
     * @param clock clock of the process
     */
    public ClaimCleanup(
            TableService tables, ControlThread control, ClaimTableGate claims, ConfigView config, Clock clock) {
        this.tables = tables;
        this.control = control;
        this.claims = claims;
        this.config = config;
        this.clock = clock;
        this.sweeper = new ClaimSweeper(clock.monotonic());
    }

    /** Starts the periodic sweeps. */
    public void start() {
        var _ = control.schedulePeriodically("clean-up-claims", PERIOD, this::startSweep);
    }

    private void startSweep() {
        if (config.active().isPresent()) {
            apply(sweeper.startSweep());
        }
    }

    private void apply(SweepEffect effect) {
        switch (effect) {
            case SweepEffect.ReadWatermark _ ->
                runOnControlThread(tables.read(ClaimExpiryWatermark.ROW), this::watermarkRead);
            case SweepEffect.RaiseWatermark r -> runOnControlThread(tables.write(List.of(r.change())), w -> {});
            case SweepEffect.Scan s -> runOnControlThread(tables.scan(s.prefix(), s.limit()), this::deleteExpired);
            case SweepEffect.Delete d -> runOnControlThread(tables.write(d.changes()), w -> {});
        }
    }

    private void watermarkRead(Optional<Row> row) {
        Duration horizon = config.active().orElseThrow().manifest().policy().claimHorizon();
        SweepEffect next = sweeper.applyWatermark(row, horizon, clock.instant(), clock.monotonic());
        claims.raiseWatermark(sweeper.watermark());
        apply(next);
    }

    private void deleteExpired(ScanPage page) {
        sweeper.selectExpired(page.rows()).ifPresent(this::apply);
    }

    private <T> void runOnControlThread(Mono<T> call, Consumer<T> next) {
        var _ = call.subscribe(
                r -> control.execute("clean-up-claims", () -> next.accept(r)),
                e -> LogEvent.of("clean-up-failed")
                        .with("step", "clean-up-claims")
                        .with("cause", e)
                        .warn());
    }
}
