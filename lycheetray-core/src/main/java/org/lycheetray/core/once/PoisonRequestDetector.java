package org.lycheetray.core.once;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;

/**
 * Detects poison requests, which crash the backend servers that run them.
 *
 * <p>A request that was in flight at a crash becomes a suspect; one that was in flight at two crashes is quarantined.
 * To avoid quarantining harmless requests, a suspect is not run on a server where another suspect is running, so that a
 * second crash identifies a single request. If several suspects were in flight nevertheless, all of them are
 * quarantined briefly and then run separately. A complete answer clears a suspect immediately.
 *
 * <p>Records are exchanged between VMs and stored in rows {@code poison/DIGEST}. They use wall-clock time because they
 * outlive the process; a clock difference only shortens or lengthens a quarantine.
 */
public final class PoisonRequestDetector {
    /** Prefix of the rows that store suspects. */
    public static final String PREFIX = "poison/";

    private final Map<RequestDigest, SuspectRecord> records = new HashMap<>();

    /**
     * Records a crash of a backend server: its connections ended with requests unanswered and it refuses new
     * connections.
     *
     * @param server the server that crashed
     * @param inFlight digests of this VM's requests that were in flight there
     * @param now wall-clock time
     * @return records to publish to the fleet
     */
    public List<SuspectRecord> recordCrash(BackendServerName server, Collection<RequestDigest> inFlight, Instant now) {
        int suspects = (int) inFlight.stream().filter(d -> isSuspect(d, now)).count();
        List<SuspectRecord> changed = new ArrayList<>();
        for (RequestDigest d : inFlight) {
            int candidates = isSuspect(d, now) ? suspects : inFlight.size();
            CrashObservation crash = new CrashObservation(server, now, candidates);
            changed.add(records.merge(d, SuspectRecord.empty(d).withCrash(crash), SuspectRecord::merge));
        }
        return changed;
    }

    /**
     * Merges a record received from another VM or read from the table service.
     *
     * @param r the record
     */
    public void merge(SuspectRecord r) {
        records.merge(r.digest(), r, SuspectRecord::merge);
    }

    /**
     * Records that a request was answered completely, which clears it if it is a suspect.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return the record to publish, empty if the request was not a suspect
     */
    public Optional<SuspectRecord> recordAnswer(RequestDigest digest, Instant now) {
        if (!records.containsKey(digest) || records.get(digest).crashes().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(records.computeIfPresent(digest, (d, r) -> r.clearedBy(now)));
    }

    /**
     * Clears a suspect on an operator's request, which ends its quarantine.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return the record to publish, empty if the request was not a suspect
     */
    public Optional<SuspectRecord> clear(RequestDigest digest, Instant now) {
        return recordAnswer(digest, now);
    }

    /**
     * Returns whether a request is quarantined and must be refused.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return true while it is quarantined
     */
    public boolean isQuarantined(RequestDigest digest, Instant now) {
        SuspectRecord r = records.get(digest);
        return r != null && now.isBefore(r.quarantinedUntil());
    }

    /**
     * Returns whether a request is a suspect and must not run beside other suspects.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return true if it was in flight at a crash whose record has not expired
     */
    public boolean isSuspect(RequestDigest digest, Instant now) {
        SuspectRecord r = records.get(digest);
        return r != null && !r.crashes().isEmpty() && !r.isExpired(now);
    }

    /**
     * Removes expired records.
     *
     * @param now wall-clock time
     */
    public void removeExpired(Instant now) {
        records.values().removeIf(r -> r.isExpired(now));
    }

    /**
     * Returns all records, for operators and for VMs that have just started.
     *
     * @return the records
     */
    public List<SuspectRecord> records() {
        return List.copyOf(records.values());
    }
}
