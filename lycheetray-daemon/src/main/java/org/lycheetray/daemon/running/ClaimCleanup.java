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

/** Deletes claims after their horizon, a little at a time. */
public final class ClaimCleanup {
    private static final Duration PERIOD = Duration.ofMinutes(1);

    private final TableService tables;
    private final ControlThread control;
    private final GroupClaims claims;
    private final ConfigView config;
    private final Clock clock;
    private final ClaimSweeper sweeper;

    /**
     * Creates a clean-up at rest.
     *
     * @param tables holds the claims
     * @param control owns the sweeper
     * @param claims is told of a raised floor
     * @param config gives the horizon
     * @param clock clock of the process
     */
    public ClaimCleanup(
            TableService tables, ControlThread control, GroupClaims claims, ConfigView config, Clock clock) {
        this.tables = tables;
        this.control = control;
        this.claims = claims;
        this.config = config;
        this.clock = clock;
        this.sweeper = new ClaimSweeper(clock.monotonic());
    }

    /** Starts the periodic rounds. */
    public void start() {
        var _ = control.every("clean-up-claims", PERIOD, this::round);
    }

    private void round() {
        if (config.active().isPresent()) {
            step(sweeper.startSweep());
        }
    }

    private void step(SweepEffect effect) {
        switch (effect) {
            case SweepEffect.ReadWatermark _ -> run(tables.read(ClaimExpiryWatermark.ROW), this::floorRead);
            case SweepEffect.RaiseWatermark r -> run(tables.write(List.of(r.change())), w -> {});
            case SweepEffect.Scan s -> run(tables.scan(s.prefix(), s.limit()), this::scanned);
            case SweepEffect.Delete d -> run(tables.write(d.changes()), w -> {});
        }
    }

    private void floorRead(Optional<Row> row) {
        Duration horizon = config.active().orElseThrow().manifest().policy().claimHorizon();
        SweepEffect next = sweeper.applyWatermark(row, horizon, clock.instant(), clock.monotonic());
        claims.raiseFloor(sweeper.watermark());
        step(next);
    }

    private void scanned(ScanPage page) {
        sweeper.selectExpired(page.rows()).ifPresent(this::step);
    }

    private <T> void run(Mono<T> call, Consumer<T> next) {
        var _ = call.subscribe(
                r -> control.execute("clean-up-claims", () -> next.accept(r)),
                e -> LogEvent.of("clean-up-failed")
                        .with("step", "clean-up-claims")
                        .with("cause", e)
                        .warn());
    }
}
