package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The rates of requests to which backend servers have limited the fleet.
 *
 * <p>Only a few VMs send requests to a limited server, so the others learn its limit, and the end of it, from reports.
 * The latest answer counts, whichever VM received it. A VM reports a limit when it changes, and again when no VM has
 * reported it for a while. Not thread-safe.
 */
public final class ServerLimits {
    /** Interval at which the VMs together report an unchanged limit, for VMs that have missed it. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(2);

    /** Number of reports that repeat a change, because some may be lost. */
    private static final int CHANGE_REPEATS = 2;

    /**
     * Time without an answer after which a limit is stale: the VMs that may use the server have no requests for it, so
     * nobody would learn the end of the limit.
     */
    private static final Duration STALE_AFTER = Duration.ofSeconds(10);

    /** Time for which the end of a limit is remembered, so that delayed reports of the limit are ignored. */
    private static final Duration END_REMEMBERED = Duration.ofSeconds(10);

    private final Map<BackendServerName, Entry> entries = new HashMap<>();

    /** The latest known statement of one incarnation of a server. */
    private static final class Entry {
        private final long incarnation;
        private OptionalDouble perSecond = OptionalDouble.empty();
        private MonotonicTime statedAt;
        private boolean statedHere;
        private Optional<MonotonicTime> lastReport = Optional.empty();
        private int repeatsLeft;

        Entry(long incarnation, MonotonicTime statedAt) {
            this.incarnation = incarnation;
            this.statedAt = statedAt;
        }

        Optional<Change> apply(OptionalDouble next, MonotonicTime at, Duration age, boolean here) {
            OptionalDouble before = perSecond;
            perSecond = next;
            statedAt = at;
            statedHere = here;
            if (before.equals(next)) {
                return Optional.empty();
            }
            repeatsLeft = here ? CHANGE_REPEATS + 1 : 0;
            return Optional.of(new Change(before, next, age));
        }

        boolean isReportDue(MonotonicTime now) {
            return repeatsLeft > 0
                    || (statedHere
                            && perSecond.isPresent()
                            && lastReport
                                    .filter(t -> now.since(t).compareTo(REFRESH_INTERVAL) < 0)
                                    .isEmpty());
        }

        boolean isForgotten(MonotonicTime now) {
            return perSecond.isEmpty() && now.since(statedAt).compareTo(END_REMEMBERED) > 0;
        }
    }

    /**
     * A change of a server's limit.
     *
     * @param before limit before the change in requests per second; empty if there was none
     * @param after limit from now on in requests per second; empty if there is none
     * @param age age of the answer that stated it
     */
    public record Change(OptionalDouble before, OptionalDouble after, Duration age) {}

    /**
     * A limit as reported to other VMs.
     *
     * @param server name of the server
     * @param incarnation incarnation of the server
     * @param perSecond the limit in requests per second; empty if it has ended
     * @param age time since the server's answer
     */
    public record Report(BackendServerName server, long incarnation, OptionalDouble perSecond, Duration age) {}

    /**
     * A limit in force.
     *
     * @param perSecond requests per second from all VMs together
     * @param stale true if no answer of the server has confirmed the limit for some time
     */
    public record Limit(double perSecond, boolean stale) {}

    /**
     * Applies the limit, or the absence of one, in an answer that this VM has received.
     *
     * @param server the server that answered
     * @param perSecond the limit in requests per second, or empty if the answer states none
     * @param now current time
     * @return the change; empty if the limit is as it was
     */
    public Optional<Change> recordAnswer(RegisteredServer server, OptionalDouble perSecond, MonotonicTime now) {
        return entry(server.name(), server.incarnation(), perSecond, now)
                .flatMap(e -> e.apply(perSecond, now, Duration.ZERO, true));
    }

    /**
     * Applies the report of another VM, unless a later answer of the server is known.
     *
     * @param report the report
     * @param now current time
     * @return the change; empty if the limit is as it was
     */
    public Optional<Change> applyReport(Report report, MonotonicTime now) {
        MonotonicTime at = now.plus(report.age().negated());
        return entry(report.server(), report.incarnation(), report.perSecond(), at)
                .flatMap(e -> {
                    Optional<Change> change = at.isBefore(e.statedAt)
                            ? Optional.empty()
                            : e.apply(report.perSecond(), at, report.age(), false);
                    if (e.perSecond.equals(report.perSecond())) {
                        e.lastReport = Optional.of(now);
                    }
                    return change;
                });
    }

    /** Returns the entry for a statement; empty if the statement is about an unlimited or an earlier server. */
    private Optional<Entry> entry(
            BackendServerName server, long incarnation, OptionalDouble perSecond, MonotonicTime at) {
        Entry known = entries.get(server);
        if (known != null && known.incarnation >= incarnation) {
            return Optional.of(known).filter(e -> e.incarnation == incarnation);
        }
        if (perSecond.isEmpty()) {
            return Optional.empty();
        }
        Entry e = new Entry(incarnation, at);
        entries.put(server, e);
        return Optional.of(e);
    }

    /**
     * Returns the limit of a server.
     *
     * @param server the server
     * @param now current time
     * @return the limit, or empty if the server is not limited
     */
    public Optional<Limit> limit(RegisteredServer server, MonotonicTime now) {
        Entry e = entries.get(server.name());
        return e == null || e.incarnation != server.incarnation() || e.perSecond.isEmpty()
                ? Optional.empty()
                : Optional.of(new Limit(
                        e.perSecond.getAsDouble(), now.since(e.statedAt).compareTo(STALE_AFTER) > 0));
    }

    /**
     * Returns whether a change should be reported at once.
     *
     * @return true if a report is due
     */
    public boolean isReportDue() {
        return entries.values().stream().anyMatch(e -> e.repeatsLeft > CHANGE_REPEATS);
    }

    /**
     * Returns the limits for a report to the other VMs, and records them as reported.
     *
     * @param all true for all limits in force, for VMs that know none yet; false for those that are due
     * @param now current time
     * @return the limits
     */
    public List<Report> takeReports(boolean all, MonotonicTime now) {
        entries.values().removeIf(e -> e.isForgotten(now));
        List<Report> reports = new ArrayList<>();
        entries.forEach((name, e) -> {
            if (e.isReportDue(now) || (all && e.perSecond.isPresent())) {
                e.repeatsLeft = Math.max(0, e.repeatsLeft - 1);
                e.lastReport = Optional.of(now);
                reports.add(new Report(name, e.incarnation, e.perSecond, now.since(e.statedAt)));
            }
        });
        return reports;
    }

    /**
     * Removes the limits of servers that no longer exist.
     *
     * @param present names of the registered servers
     */
    public void retainServers(Collection<BackendServerName> present) {
        entries.keySet().retainAll(present);
    }

    /**
     * Returns the number of servers that are limited.
     *
     * @return number of servers
     */
    public int limitedServerCount() {
        return (int)
                entries.values().stream().filter(e -> e.perSecond.isPresent()).count();
    }
}
