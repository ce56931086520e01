package org.lycheetray.core.health;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.time.MonotonicTime;

/** Evidence about one backend server. */
final class ServerRecord {
    private final HealthSettings settings;
    private BackendServer server;
    private Duration coldStart;
    private int score;
    private int ejections;
    private Optional<MonotonicTime> ejectedUntil = Optional.empty();
    private Optional<MonotonicTime> shedUntil = Optional.empty();
    private Optional<MonotonicTime> lastAnswer = Optional.empty();
    private Optional<MonotonicTime> warmingSince = Optional.empty();
    private Optional<HealthReport> report = Optional.empty();
    private MonotonicTime reportedAt = MonotonicTime.ZERO;
    private boolean drained;

    ServerRecord(HealthSettings settings, BackendServer server, Duration coldStart, boolean fresh, MonotonicTime now) {
        this.settings = settings;
        this.server = server;
        this.coldStart = coldStart;
        if (fresh) {
            warmingSince = Optional.of(now);
        }
    }

    BackendServer server() {
        return server;
    }

    void redeclare(BackendServer s, Duration cold) {
        server = s;
        coldStart = cold;
    }

    void drain(boolean on, MonotonicTime now) {
        boolean was = isLeaving();
        drained = on;
        warmAfterLeaving(was, now);
    }

    void observe(Evidence evidence, MonotonicTime now) {
        if (evidence == Evidence.ANSWERED) {
            answered(now);
            return;
        }
        score += evidence.weight();
        if (score >= settings.ejectAtScore() && !isEjected(now)) {
            eject(now);
        }
    }

    void shed(Duration pause, MonotonicTime now) {
        lastAnswer = Optional.of(now);
        shedUntil = Optional.of(now.plus(pause));
    }

    void report(HealthReport r, MonotonicTime now) {
        boolean was = isLeaving();
        report = Optional.of(r);
        reportedAt = now;
        warmAfterLeaving(was, now);
    }

    boolean isEjected(MonotonicTime now) {
        return ejectedUntil.filter(now::isBefore).isPresent() || isDoubted(now);
    }

    boolean isLeaving() {
        return drained || report.filter(HealthReport::leaving).isPresent();
    }

    ServerState state(MonotonicTime now) {
        if (isLeaving()) {
            return ServerState.LEAVING;
        }
        if (isEjected(now)) {
            return ServerState.EJECTED;
        }
        if (shedUntil.filter(now::isBefore).isPresent()) {
            return ServerState.SHEDDING;
        }
        return slots(now) < server.slots() ? ServerState.SLOW_START : ServerState.IN_USE;
    }

    /** Orders servers that are ejected: the one with the best claim to be kept in use comes first. */
    long doubt() {
        return (long) ejections * settings.ejectAtScore() + score;
    }

    int slots(MonotonicTime now) {
        if (score >= settings.ejectAtScore()) {
            return 1;
        }
        if (warmingSince.isEmpty() || coldStart.isZero()) {
            return server.slots();
        }
        double passed = (double) now.since(warmingSince.get()).toNanos() / coldStart.toNanos();
        double share = settings.slowStartShare() + (1 - settings.slowStartShare()) * Math.clamp(passed, 0, 1);
        return Math.max(1, (int) Math.floor(share * server.slots() + 1e-9));
    }

    private void warmAfterLeaving(boolean was, MonotonicTime now) {
        if (was && !isLeaving()) {
            warmingSince = Optional.of(now);
        }
    }

    private void answered(MonotonicTime now) {
        if (score >= settings.ejectAtScore()) {
            warmingSince = Optional.of(now);
        } else if (warmingSince
                .filter(w -> now.since(w).compareTo(coldStart) >= 0)
                .isPresent()) {
            ejections = 0;
        }
        score = 0;
        lastAnswer = Optional.of(now);
        ejectedUntil = Optional.empty();
    }

    private void eject(MonotonicTime now) {
        Duration length = settings.firstEjection().multipliedBy(1L << Math.min(ejections, 10));
        Duration bounded = length.compareTo(settings.longestEjection()) < 0 ? length : settings.longestEjection();
        ejections++;
        ejectedUntil = Optional.of(now.plus(bounded));
    }

    /** A report of ill health counts only while it is recent and no request has shown the opposite. */
    private boolean isDoubted(MonotonicTime now) {
        boolean ill = report.filter(r -> !r.healthy()).isPresent()
                && now.since(reportedAt).compareTo(settings.reportTrusted()) < 0;
        return ill
                && lastAnswer
                        .filter(t -> now.since(t).compareTo(settings.passiveOutranks()) < 0)
                        .isEmpty();
    }
}
