package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * The crashes at which a request was in flight. Merging records is commutative, so VMs may exchange them in any order.
 *
 * @param digest digest of the request
 * @param crashes observed crashes with the request in flight, oldest first
 * @param clearedAt time at which the request was last answered or cleared by an operator; crashes up to this time are
 *     ignored
 */
public record SuspectRecord(RequestDigest digest, List<CrashObservation> crashes, Instant clearedAt) {
    /** Number of crashes at which a request is quarantined. */
    public static final int QUARANTINE_CRASH_COUNT = 2;

    /** Time after a crash for which a request remains a suspect. */
    public static final Duration SUSPICION_PERIOD = Duration.ofMinutes(10);

    /** Quarantine of a request that was the only suspect at its last crash; doubled at each further crash. */
    public static final Duration BASE_QUARANTINE = Duration.ofMinutes(10);

    /** Quarantine of a request that was in flight beside other suspects and therefore may not have caused the crash. */
    public static final Duration AMBIGUOUS_QUARANTINE = Duration.ofSeconds(30);

    private static final int MAX_DOUBLINGS = 5;

    /** Copies the list. */
    public SuspectRecord {
        crashes = List.copyOf(crashes);
    }

    static SuspectRecord empty(RequestDigest digest) {
        return new SuspectRecord(digest, List.of(), Instant.EPOCH);
    }

    /**
     * Merges two records of the same request.
     *
     * @param o the other record
     * @return a record with the crashes of both and the later clearing
     */
    public SuspectRecord merge(SuspectRecord o) {
        Instant cleared = clearedAt.isAfter(o.clearedAt) ? clearedAt : o.clearedAt;
        List<CrashObservation> all = new ArrayList<>();
        Stream.concat(crashes.stream(), o.crashes.stream())
                .filter(c -> c.at().isAfter(cleared))
                .distinct()
                .sorted(Comparator.comparing(CrashObservation::at)
                        .thenComparing(c -> c.server().value())
                        .thenComparingInt(CrashObservation::suspects))
                .forEach(all::add);
        return new SuspectRecord(digest, all, cleared);
    }

    SuspectRecord withCrash(CrashObservation crash) {
        return merge(new SuspectRecord(digest, List.of(crash), clearedAt));
    }

    SuspectRecord clearedBy(Instant now) {
        return merge(new SuspectRecord(digest, List.of(), now));
    }

    /**
     * Returns the number of crashes, counting several observations of the same crash once.
     *
     * @return number of distinct crashes
     */
    public int crashCount() {
        List<CrashObservation> distinct = new ArrayList<>();
        for (CrashObservation c : crashes) {
            if (distinct.stream().noneMatch(c::isSameCrashAs)) {
                distinct.add(c);
            }
        }
        return distinct.size();
    }

    /**
     * Returns the end of the quarantine.
     *
     * @return wall-clock time from which the request may run again, or the epoch if it was never quarantined
     */
    public Instant quarantinedUntil() {
        int count = crashCount();
        if (count < QUARANTINE_CRASH_COUNT) {
            return Instant.EPOCH;
        }
        CrashObservation last = crashes.getLast();
        if (last.suspects() > 1) {
            return last.at().plus(AMBIGUOUS_QUARANTINE);
        }
        int doublings = Math.min(count - QUARANTINE_CRASH_COUNT, MAX_DOUBLINGS);
        return last.at().plus(BASE_QUARANTINE.multipliedBy(1L << doublings));
    }

    /**
     * Returns whether the record has expired.
     *
     * @param now wall-clock time
     * @return true if it can be removed
     */
    public boolean isExpired(Instant now) {
        Instant last = crashes.isEmpty() ? clearedAt : crashes.getLast().at();
        Instant suspectUntil = last.plus(SUSPICION_PERIOD);
        return !now.isBefore(suspectUntil) && !now.isBefore(quarantinedUntil());
    }
}
