package org.lycheetray.core.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What the fleet knows against a request; two records merge in any order to the same result.
 *
 * @param digest digest of the request
 * @param crashes crashes with the request in flight, oldest first
 * @param clearedAt crashes until this time do not count, because the request has since been answered or an operator has
 *     cleared it
 */
public record SuspectRecord(RequestDigest digest, List<CrashSight> crashes, Instant clearedAt) {
    /** Crashes after which a request is quarantined. */
    public static final int QUARANTINE_AT = 2;

    /** Time for which a request is remembered as suspect after a crash. */
    public static final Duration SUSPICION = Duration.ofMinutes(10);

    /** First quarantine of a request that was the only suspect at its last crash; doubled at each further crash. */
    public static final Duration QUARANTINE = Duration.ofMinutes(10);

    /** Quarantine of a request beside which other suspects were in flight, so that it may be innocent. */
    public static final Duration DOUBTFUL_QUARANTINE = Duration.ofSeconds(30);

    private static final int MAX_DOUBLINGS = 5;

    /** Copies the list. */
    public SuspectRecord {
        crashes = List.copyOf(crashes);
    }

    static SuspectRecord empty(RequestDigest digest) {
        return new SuspectRecord(digest, List.of(), Instant.EPOCH);
    }

    /**
     * Joins two records of the same request.
     *
     * @param o the other record
     * @return all that both know
     */
    public SuspectRecord merge(SuspectRecord o) {
        Instant cleared = clearedAt.isAfter(o.clearedAt) ? clearedAt : o.clearedAt;
        List<CrashSight> all = new ArrayList<>();
        Stream.concat(crashes.stream(), o.crashes.stream())
                .filter(c -> c.at().isAfter(cleared))
                .distinct()
                .sorted(Comparator.comparing(CrashSight::at)
                        .thenComparing(c -> c.server().value())
                        .thenComparingInt(CrashSight::suspects))
                .forEach(all::add);
        return new SuspectRecord(digest, all, cleared);
    }

    SuspectRecord with(CrashSight crash) {
        return merge(new SuspectRecord(digest, List.of(crash), clearedAt));
    }

    SuspectRecord cleared(Instant now) {
        return merge(new SuspectRecord(digest, List.of(), now));
    }

    /**
     * Counts crashes, several sightings of one crash once.
     *
     * @return distinct crashes
     */
    public int crashCount() {
        List<CrashSight> distinct = new ArrayList<>();
        for (CrashSight c : crashes) {
            if (distinct.stream().noneMatch(c::isSameCrash)) {
                distinct.add(c);
            }
        }
        return distinct.size();
    }

    /**
     * Gives the end of the quarantine.
     *
     * @return time from which the request may run again, or the epoch if it was never quarantined
     */
    public Instant quarantinedUntil() {
        int count = crashCount();
        if (count < QUARANTINE_AT) {
            return Instant.EPOCH;
        }
        CrashSight last = crashes.getLast();
        if (last.suspects() > 1) {
            return last.at().plus(DOUBTFUL_QUARANTINE);
        }
        int doublings = Math.min(count - QUARANTINE_AT, MAX_DOUBLINGS);
        return last.at().plus(QUARANTINE.multipliedBy(1L << doublings));
    }

    /**
     * Tells whether the record says nothing any more.
     *
     * @param now wall-clock time
     * @return true if it can be forgotten
     */
    public boolean isSpent(Instant now) {
        Instant last = crashes.isEmpty() ? clearedAt : crashes.getLast().at();
        Instant remembered = last.plus(SUSPICION);
        return !now.isBefore(remembered) && !now.isBefore(quarantinedUntil());
    }
}
