package org.lycheetray.core.suspect.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.suspect.SuspectRequest;
import org.lycheetray.core.time.MonotonicTime;

/** The crashes, the last answer and the last trial of one request, and when other VMs were told. */
public final class SuspectEntry {
    /** Interval at which the VM that observed a change reports it again, for VMs that have missed it. */
    private static final Duration REFRESH_INTERVAL = Duration.ofSeconds(5);

    /** Number of reports that repeat a change, because some may be lost. */
    private static final int CHANGE_REPEATS = 2;

    /** Time for which an answered request is remembered, so that delayed reports of its crashes are ignored. */
    private static final Duration ANSWER_REMEMBERED = Duration.ofSeconds(10);

    private final int hash;
    private final RequestDigest digest;
    private final List<Crash> crashes = new ArrayList<>();
    private Optional<MonotonicTime> answered = Optional.empty();
    private Optional<MonotonicTime> trial = Optional.empty();
    private Optional<MonotonicTime> lastReport = Optional.empty();
    private boolean observedHere;
    private int repeatsLeft;

    private record Crash(BackendServerName server, long incarnation, MonotonicTime at) {
        boolean isSameAs(BackendServerName name, long otherIncarnation) {
            return server.equals(name) && incarnation == otherIncarnation;
        }
    }

    /**
     * Creates an entry without crashes.
     *
     * @param hash hash of the request
     * @param digest digest of the request
     */
    public SuspectEntry(int hash, RequestDigest digest) {
        this.hash = hash;
        this.digest = digest;
    }

    /**
     * Returns the hash of the request.
     *
     * @return the hash
     */
    public int hash() {
        return hash;
    }

    /**
     * Returns the digest of the request.
     *
     * @return the digest
     */
    public RequestDigest digest() {
        return digest;
    }

    /**
     * Returns the number of crashes since the last answer.
     *
     * @return number of crashes, {@link SuspectRequest#MAX_CRASHES} at most
     */
    public int crashCount() {
        return crashes.size();
    }

    /**
     * Adds a crash, unless it is known or older than the last answer.
     *
     * @param server name of the server
     * @param incarnation the incarnation that crashed
     * @param at time of the crash
     */
    public void addCrash(BackendServerName server, long incarnation, MonotonicTime at) {
        boolean known = crashes.stream().anyMatch(c -> c.isSameAs(server, incarnation));
        if (known || answered.filter(at::isBefore).isPresent()) {
            return;
        }
        crashes.add(new Crash(server, incarnation, at));
        crashes.sort(Comparator.comparing(Crash::at));
        if (crashes.size() > SuspectRequest.MAX_CRASHES) {
            crashes.removeFirst();
        }
    }

    /**
     * Sets the time of an answer, which clears earlier crashes.
     *
     * @param at time of the answer
     */
    public void setAnswered(MonotonicTime at) {
        answered = answered.filter(at::isBefore).or(() -> Optional.of(at));
        crashes.removeIf(c -> !answered.get().isBefore(c.at()));
    }

    /**
     * Starts a trial of a quarantined request, which other VMs are told at once.
     *
     * @param now current time
     */
    public void startTrial(MonotonicTime now) {
        trial = Optional.of(now);
        markObservedHere();
    }

    /** Marks the latest change as observed by this VM, which reports it to the others. */
    public void markObservedHere() {
        observedHere = true;
        repeatsLeft = CHANGE_REPEATS + 1;
    }

    /** Requests one report of an unchanged entry. */
    public void requestReport() {
        repeatsLeft = Math.max(1, repeatsLeft);
    }

    /**
     * Merges the report of another VM.
     *
     * @param report the report
     * @param now current time
     */
    public void merge(SuspectRequest report, MonotonicTime now) {
        report.answered().ifPresent(age -> setAnswered(now.plus(age.negated())));
        report.crashes()
                .forEach(c ->
                        addCrash(c.server(), c.incarnation(), now.plus(c.age().negated())));
        report.trial().map(age -> now.plus(age.negated())).ifPresent(t -> {
            trial = trial.filter(t::isBefore).or(() -> Optional.of(t));
        });
        lastReport = Optional.of(now);
    }

    /**
     * Returns the start of the current quarantine: the last crash or the last trial.
     *
     * @return time of the later one
     */
    public MonotonicTime heldSince() {
        MonotonicTime crash = crashes.getLast().at();
        return trial.filter(crash::isBefore).orElse(crash);
    }

    /**
     * Returns the time of the last crash, or of the last answer if there was no crash since.
     *
     * @return time of the last change
     */
    public MonotonicTime lastChange() {
        return crashes.isEmpty()
                ? answered.orElse(MonotonicTime.ZERO)
                : crashes.getLast().at();
    }

    /**
     * Returns whether the entry can be removed.
     *
     * @param held time since the last crash or trial after which the request is no longer a suspect
     * @param now current time
     * @return true if it can be removed
     */
    public boolean isForgotten(Duration held, MonotonicTime now) {
        return crashes.isEmpty()
                ? now.since(lastChange()).compareTo(ANSWER_REMEMBERED) > 0
                : now.since(heldSince()).compareTo(held) > 0;
    }

    /**
     * Returns whether the entry has changed here and was not reported yet.
     *
     * @return true if a report is due at once
     */
    public boolean isUrgent() {
        return repeatsLeft > CHANGE_REPEATS;
    }

    /**
     * Returns whether the entry belongs into the next report.
     *
     * @param now current time
     * @return true if it changed lately, or no VM has reported it for a while
     */
    public boolean isReportDue(MonotonicTime now) {
        return repeatsLeft > 0
                || (observedHere
                        && lastReport
                                .filter(t -> now.since(t).compareTo(REFRESH_INTERVAL) < 0)
                                .isEmpty());
    }

    /**
     * Returns the report of the entry, and records it as reported.
     *
     * @param now current time
     * @return the report
     */
    public SuspectRequest report(MonotonicTime now) {
        repeatsLeft = Math.max(0, repeatsLeft - 1);
        lastReport = Optional.of(now);
        return new SuspectRequest(
                hash,
                digest,
                crashes.stream()
                        .map(c -> new SuspectRequest.Crash(c.server(), c.incarnation(), now.since(c.at())))
                        .toList(),
                answered.map(now::since),
                trial.map(now::since));
    }
}
