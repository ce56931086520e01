package org.lycheetray.core.suspect;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.suspect.internal.SuspectEntry;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The requests that were in flight when backend servers crashed, as far as this VM has seen it or was told.
 *
 * <p>A request that was in flight at two crashes is not repeated, and one that was in flight at three is quarantined: it
 * is refused, and sent as a trial to one server whenever the quarantine, which doubles with each crash, is over. A
 * complete answer of a server clears a request at once, so a frequent request that was in flight by chance is cleared by
 * the next answer to any VM. The state is kept in memory only and is bounded: the requests with the fewest crashes are
 * dropped first. Not thread-safe.
 */
public final class CrashSuspects {
    /** Number of crashes from which on a request is not repeated. */
    static final int NO_REPEAT_CRASHES = 2;

    /** Number of crashes from which on a request is quarantined. */
    static final int QUARANTINE_CRASHES = 3;

    /** Quarantine after {@link #QUARANTINE_CRASHES} crashes; doubles with each further one. */
    static final Duration BASE_QUARANTINE = Duration.ofSeconds(30);

    private static final int MAX_DOUBLINGS = 5;

    /** Time after the last crash for which a request remains a suspect. */
    static final Duration SUSPICION_PERIOD = Duration.ofMinutes(10);

    /** Maximum number of requests that are remembered. */
    static final int MAX_REQUESTS = 128;

    /** Maximum number of requests in one report, so that a report fits into few packets. */
    static final int MAX_REPORTED = 4;

    private final Map<RequestDigest, SuspectEntry> entries = new HashMap<>();
    private final Set<Integer> hashes = new HashSet<>();

    /**
     * A change of what is known about a request.
     *
     * @param digest digest of the request
     * @param crashes number of crashes from now on
     * @param before number of crashes before the change
     */
    public record Change(RequestDigest digest, int crashes, int before) {
        /**
         * Returns whether the change starts the quarantine of the request or extends it.
         *
         * @return true if it is quarantined because of this change
         */
        public boolean quarantines() {
            return crashes >= QUARANTINE_CRASHES && crashes > before;
        }

        /**
         * Returns whether the request is no longer a suspect.
         *
         * @return true if a backend server has answered it
         */
        public boolean clears() {
            return crashes == 0;
        }
    }

    /**
     * Decides how often a request may be sent. If its quarantine is over, this call starts a trial, and other requests
     * like it are refused until the trial has an answer or another quarantine has passed.
     *
     * @param request the request
     * @param now current time
     * @return the verdict
     */
    public SuspectVerdict admit(RequestFingerprint request, MonotonicTime now) {
        Optional<SuspectEntry> entry = find(request);
        if (entry.isEmpty()) {
            return new SuspectVerdict.Unsuspected();
        }
        int crashes = entry.get().crashCount();
        if (crashes >= QUARANTINE_CRASHES) {
            Duration remaining = quarantine(crashes).minus(now.since(entry.get().heldSince()));
            if (remaining.isPositive()) {
                return new SuspectVerdict.Quarantined(crashes, remaining);
            }
            entry.get().startTrial(now);
            return new SuspectVerdict.Trial(crashes);
        }
        return crashes >= NO_REPEAT_CRASHES ? new SuspectVerdict.NoRepeat(crashes) : new SuspectVerdict.Unsuspected();
    }

    private static Duration quarantine(int crashes) {
        return BASE_QUARANTINE.multipliedBy(1L << Math.min(MAX_DOUBLINGS, crashes - QUARANTINE_CRASHES));
    }

    /**
     * Returns whether a request may be sent to a further server after one that did not answer it.
     *
     * @param request the request
     * @return false if it was in flight at two crashes or more
     */
    public boolean mayRepeat(RequestFingerprint request) {
        return find(request).map(e -> e.crashCount() < NO_REPEAT_CRASHES).orElse(true);
    }

    /**
     * Returns whether a request was in flight at a crash and not answered since.
     *
     * @param request the request
     * @return true if it is a suspect
     */
    public boolean isSuspect(RequestFingerprint request) {
        return find(request).filter(e -> e.crashCount() > 0).isPresent();
    }

    private Optional<SuspectEntry> find(RequestFingerprint request) {
        return hashes.contains(request.hash()) ? Optional.ofNullable(entries.get(request.digest())) : Optional.empty();
    }

    /**
     * Returns whether requests are known that were in flight at a crash.
     *
     * @return false if every request is unsuspected
     */
    public boolean isEmpty() {
        return entries.isEmpty();
    }

    /**
     * Records a crash of a backend server while a request was in flight there.
     *
     * @param server name of the server
     * @param incarnation the incarnation that crashed
     * @param request the request
     * @param now current time
     * @return the change; empty if the crash was known
     */
    public Optional<Change> recordCrash(
            BackendServerName server, long incarnation, RequestFingerprint request, MonotonicTime now) {
        SuspectEntry e = entryFor(request.hash(), request.digest());
        int before = e.crashCount();
        e.addCrash(server, incarnation, now);
        if (e.crashCount() != before) {
            e.markObservedHere();
        }
        dropExcess();
        return change(e, before);
    }

    /**
     * Records that a backend server has answered a request, which clears it.
     *
     * @param request the request
     * @param now current time
     * @return the change; empty if the request was no suspect
     */
    public Optional<Change> recordAnswer(RequestFingerprint request, MonotonicTime now) {
        return find(request).flatMap(e -> {
            int before = e.crashCount();
            if (before > 0) {
                e.setAnswered(now);
                e.markObservedHere();
            }
            return change(e, before);
        });
    }

    /**
     * Applies what another VM has told.
     *
     * @param report the report
     * @param now current time
     * @return the change; empty if nothing in it was new
     */
    public Optional<Change> applyReport(SuspectRequest report, MonotonicTime now) {
        if (!entries.containsKey(report.digest()) && report.crashes().isEmpty()) {
            return Optional.empty();
        }
        SuspectEntry e = entryFor(report.hash(), report.digest());
        int before = e.crashCount();
        e.merge(report, now);
        dropExcess();
        return change(e, before);
    }

    private static Optional<Change> change(SuspectEntry e, int before) {
        return e.crashCount() == before
                ? Optional.empty()
                : Optional.of(new Change(e.digest(), e.crashCount(), before));
    }

    private SuspectEntry entryFor(int hash, RequestDigest digest) {
        return entries.computeIfAbsent(digest, d -> {
            hashes.add(hash);
            return new SuspectEntry(hash, d);
        });
    }

    /** Drops the request with the fewest crashes, the oldest first, if there are too many. */
    private void dropExcess() {
        if (entries.size() > MAX_REQUESTS) {
            entries.values().stream()
                    .min(Comparator.comparingInt(SuspectEntry::crashCount).thenComparing(SuspectEntry::lastChange))
                    .ifPresent(e -> entries.remove(e.digest()));
            updateHashes();
        }
    }

    private void updateHashes() {
        hashes.clear();
        entries.values().forEach(e -> hashes.add(e.hash()));
    }

    /**
     * Removes the requests that are no longer suspects.
     *
     * @param now current time
     */
    public void removeExpired(MonotonicTime now) {
        boolean removed = entries.values().removeIf(e -> {
            Duration held = e.crashCount() < QUARANTINE_CRASHES
                    ? SUSPICION_PERIOD
                    : SUSPICION_PERIOD.plus(quarantine(e.crashCount()));
            return e.isForgotten(held, now);
        });
        if (removed) {
            updateHashes();
        }
    }

    /** Marks the requests that must not be repeated for the next reports, because a VM has joined that knows none. */
    public void requestReports() {
        entries.values().stream()
                .filter(e -> e.crashCount() >= NO_REPEAT_CRASHES)
                .forEach(SuspectEntry::requestReport);
    }

    /**
     * Returns whether a change should be reported at once.
     *
     * @return true if a report is due
     */
    public boolean isReportDue() {
        return entries.values().stream().anyMatch(SuspectEntry::isUrgent);
    }

    /**
     * Returns the requests for a report to the other VMs, and records them as reported. The rest follows in later
     * reports.
     *
     * @param now current time
     * @return the requests, those with the most crashes first
     */
    public List<SuspectRequest> takeReports(MonotonicTime now) {
        List<SuspectEntry> due = new ArrayList<>(
                entries.values().stream().filter(e -> e.isReportDue(now)).toList());
        due.sort(Comparator.comparing(SuspectEntry::isUrgent)
                .thenComparingInt(SuspectEntry::crashCount)
                .reversed());
        return due.stream().limit(MAX_REPORTED).map(e -> e.report(now)).toList();
    }

    /**
     * Returns the number of requests that were in flight at a crash and not answered since.
     *
     * @return number of requests
     */
    public int suspectCount() {
        return count(1);
    }

    /**
     * Returns the number of requests that are quarantined.
     *
     * @return number of requests
     */
    public int quarantinedCount() {
        return count(QUARANTINE_CRASHES);
    }

    private int count(int minCrashes) {
        return (int) entries.values().stream()
                .filter(e -> e.crashCount() >= minCrashes)
                .count();
    }
}
