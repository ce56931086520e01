package org.lycheetray.core.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Grants that one VM holds from the owners of one service in one data centre.
 *
 * <p>Reporting to a new owner fences off its predecessors: grants of an earlier generation are rejected from then on.
 * Otherwise a predecessor that resumes after a pause could grant the same slots twice. Not thread-safe.
 */
public final class HeldGrants {
    private final Map<SlotRequestId, HeldEntry> held = new HashMap<>();
    private OwnerGeneration fence;

    private record HeldEntry(BackendServerName server, MonotonicTime expiresAt) {}

    /**
     * Accepts a grant unless it is fenced off or expired.
     *
     * @param grant the grant
     * @param requestedAt time at which the slot request was sent
     * @param now current time
     * @return false if the grant must not be used and must be released
     */
    public boolean accept(SlotDecision.Granted grant, MonotonicTime requestedAt, MonotonicTime now) {
        MonotonicTime expiresAt = requestedAt.plus(grant.validity());
        if (isFenced(grant.generation()) || !now.isBefore(expiresAt)) {
            return false;
        }
        held.put(grant.id(), new HeldEntry(grant.server().name(), expiresAt));
        return true;
    }

    private boolean isFenced(OwnerGeneration g) {
        return fence != null && g.compareTo(fence) < 0;
    }

    /**
     * Returns the generation of the latest owner that received a report.
     *
     * @return the generation number, 0 if no owner received a report
     */
    public long latestReportedGeneration() {
        return fence == null ? 0 : fence.number();
    }

    /**
     * Removes a grant whose request has ended.
     *
     * @param id identifier of the slot request
     */
    public void remove(SlotRequestId id) {
        held.remove(id);
    }

    /**
     * Returns the grants in use for a report to a new owner, and fences off earlier owners.
     *
     * @param owner the new owner
     * @param now current time
     * @return the grants in use, empty if a later owner has already received a report
     */
    public Optional<List<HeldGrant>> report(OwnerGeneration owner, MonotonicTime now) {
        if (isFenced(owner)) {
            return Optional.empty();
        }
        fence = owner;
        held.values().removeIf(h -> !now.isBefore(h.expiresAt));
        return Optional.of(held.entrySet().stream()
                .map(e -> new HeldGrant(
                        e.getKey(), e.getValue().server, e.getValue().expiresAt.since(now)))
                .toList());
    }
}
