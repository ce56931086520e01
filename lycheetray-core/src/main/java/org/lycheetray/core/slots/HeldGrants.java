package org.lycheetray.core.slots;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The grants that one VM holds from the owners of one service and data centre.
 *
 * <p>Reporting to a new owner fences its predecessors: grants of an earlier generation that arrive later are not
 * accepted, so a predecessor that was only paused cannot fill the same slots a second time. For one thread.
 */
public final class HeldGrants {
    private final Map<AskId, Held> held = new HashMap<>();
    private OwnerGeneration fence;

    private record Held(BackendServerName server, MonotonicTime until) {}

    /**
     * Takes a grant.
     *
     * @param grant the grant
     * @param askedAt when the ask was sent
     * @param now the present
     * @return false if it must not be used and is to be given back
     */
    public boolean accept(SlotEffect.Granted grant, MonotonicTime askedAt, MonotonicTime now) {
        MonotonicTime until = askedAt.plus(grant.validity());
        if (isFenced(grant.generation()) || !now.isBefore(until)) {
            return false;
        }
        held.put(grant.id(), new Held(grant.server().name(), until));
        return true;
    }

    private boolean isFenced(OwnerGeneration g) {
        return fence != null && g.compareTo(fence) < 0;
    }

    /**
     * Gives the latest owner that was reported to.
     *
     * @return its generation, 0 if there was none
     */
    public long fence() {
        return fence == null ? 0 : fence.number();
    }

    /**
     * Forgets a grant whose request has ended.
     *
     * @param id the ask that it answered
     */
    public void end(AskId id) {
        held.remove(id);
    }

    /**
     * Reports to a new owner what is held.
     *
     * @param owner the new owner
     * @param now the present
     * @return the grants still in use, empty if a later owner has already been reported to
     */
    public Optional<List<HeldGrant>> report(OwnerGeneration owner, MonotonicTime now) {
        if (isFenced(owner)) {
            return Optional.empty();
        }
        fence = owner;
        held.values().removeIf(h -> !now.isBefore(h.until));
        return Optional.of(held.entrySet().stream()
                .map(e -> new HeldGrant(
                        e.getKey(), e.getValue().server, e.getValue().until.since(now)))
                .toList());
    }
}
