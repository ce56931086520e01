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
 * Finds requests that crash backend servers.
 *
 * <p>What was in flight at a crash is suspect, and what was in flight at two crashes is quarantined. To spare innocents,
 * a suspect is not run on a server where another suspect is running, so that a second crash points at one request; when
 * several suspects were in flight nevertheless, all are kept back only briefly and then run apart. A whole answer clears
 * a suspect at once. Records are exchanged between VMs and kept in rows {@code poison/DIGEST}; wall-clock time is used
 * because they outlive any process, and clocks that are apart only shorten or lengthen a quarantine.
 */
public final class PoisonSuspects {
    /** Prefix of the rows that keep suspects. */
    public static final String PREFIX = "poison/";

    private final Map<RequestDigest, SuspectRecord> records = new HashMap<>();

    /**
     * Takes a crash of a backend server: its connections ended with requests unanswered and it refuses new ones.
     *
     * @param server the server
     * @param inFlight digests of this VM's requests that were in flight there
     * @param now wall-clock time
     * @return records to publish to the fleet
     */
    public List<SuspectRecord> crashed(BackendServerName server, Collection<RequestDigest> inFlight, Instant now) {
        int suspects = (int) inFlight.stream().filter(d -> isSuspect(d, now)).count();
        List<SuspectRecord> changed = new ArrayList<>();
        for (RequestDigest d : inFlight) {
            int beside = isSuspect(d, now) ? suspects : inFlight.size();
            CrashSight crash = new CrashSight(server, now, beside);
            changed.add(records.merge(d, SuspectRecord.empty(d).with(crash), SuspectRecord::merge));
        }
        return changed;
    }

    /**
     * Takes what another VM or the table knows.
     *
     * @param r the record
     */
    public void heard(SuspectRecord r) {
        records.merge(r.digest(), r, SuspectRecord::merge);
    }

    /**
     * Takes a whole answer, which clears a suspect.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return the record to publish, empty if the request was no suspect
     */
    public Optional<SuspectRecord> answered(RequestDigest digest, Instant now) {
        if (!records.containsKey(digest) || records.get(digest).crashes().isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(records.computeIfPresent(digest, (d, r) -> r.cleared(now)));
    }

    /**
     * Lets an operator end a quarantine.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return the record to publish, empty if the request was no suspect
     */
    public Optional<SuspectRecord> clear(RequestDigest digest, Instant now) {
        return answered(digest, now);
    }

    /**
     * Tells whether a request must be refused.
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
     * Tells whether a request must run apart from other suspects.
     *
     * @param digest the request
     * @param now wall-clock time
     * @return true if it was in flight at a crash that still counts
     */
    public boolean isSuspect(RequestDigest digest, Instant now) {
        SuspectRecord r = records.get(digest);
        return r != null && !r.crashes().isEmpty() && !r.isSpent(now);
    }

    /**
     * Forgets what no longer counts.
     *
     * @param now wall-clock time
     */
    public void expire(Instant now) {
        records.values().removeIf(r -> r.isSpent(now));
    }

    /**
     * Gives everything that counts, for operators and for a VM that has just started.
     *
     * @return the records
     */
    public List<SuspectRecord> records() {
        return List.copyOf(records.values());
    }
}
