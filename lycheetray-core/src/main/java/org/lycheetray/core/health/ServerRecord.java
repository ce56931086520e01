package org.lycheetray.core.health;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.time.MonotonicTime;

/** Health state of one backend server. */
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

    void updateDeclaration(BackendServer s, Duration cold) {
        server = s;
        coldStart = cold;
    }

    void setDrained(boolean on, MonotonicTime now) {
        boolean wasLeaving = isLeaving();
        drained = on;
        startWarmUpAfterLeaving(wasLeaving, now);
    }

    void observe(Evidence evidence, MonotonicTime now) {
        if (evidence == Evidence.ANSWERED) {
            recordAnswer(now);
            return;
        }
        score += evidence.weight();
        if (score >= settings.ejectAtScore() && !isEjected(now)) {
            eject(now);
        }
    }

    void recordShed(Duration pause, MonotonicTime now) {
        lastAnswer = Optional.of(now);
        shedUntil = Optional.of(now.plus(pause));
    }

    void applyReport(HealthReport r, MonotonicTime now) {
        boolean wasLeaving = isLeaving();
        report = Optional.of(r);
        reportedAt = now;
        startWarmUpAfterLeaving(wasLeaving, now);
    }

    boolean isEjected(MonotonicTime now) {
        return ejectedUntil.filter(now::isBefore).isPresent() || isReportedUnhealthy(now);
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

    /**
     * Returns the severity of the failures of the server.
     *
     * <p>If too many servers are ejected, those with the lowest severity are kept in use.
     */
    long severity() {
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

    private void startWarmUpAfterLeaving(boolean wasLeaving, MonotonicTime now) {
        if (wasLeaving && !isLeaving()) {
            warmingSince = Optional.of(now);
        }
    }

    private void recordAnswer(MonotonicTime now) {
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
        Duration bounded = length.compareTo(settings.maxEjection()) < 0 ? length : settings.maxEjection();
        ejections++;
        ejectedUntil = Optional.of(now.plus(bounded));
    }

    /** Returns whether a recent report says that the server is unhealthy and no recent answer contradicts it. */
    private boolean isReportedUnhealthy(MonotonicTime now) {
        boolean unhealthy = report.filter(r -> !r.healthy()).isPresent()
                && now.since(reportedAt).compareTo(settings.maxReportAge()) < 0;
        return unhealthy
                && lastAnswer
                        .filter(t -> now.since(t).compareTo(settings.answerPrecedence()) < 0)
                        .isEmpty();
    }
}
