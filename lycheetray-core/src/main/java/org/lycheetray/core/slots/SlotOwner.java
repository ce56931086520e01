package org.lycheetray.core.slots;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.fair.FairQueue;
import org.lycheetray.core.fair.FairQueueLimits;
import org.lycheetray.core.fair.OfferResult;
import org.lycheetray.core.fair.Selection;
import org.lycheetray.core.fair.Ticket;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.internal.SlotTable;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Allocates the slots of one service's backend servers in one data centre.
 *
 * <p>Counts are exact: a slot is in use from the grant until the grant is released or expires, or until its holder has
 * crashed and the backend server has had time to stop the request. Therefore a backend server never gets more requests
 * than it has slots, however many VMs send slot requests concurrently. If no slot is idle, slot requests wait in a
 * weighted deficit round robin queue per client account.
 *
 * <p>A new owner does not know its predecessor's grants. It grants nothing until every VM that may hold a grant has
 * reported, or until the longest grant has expired; slot requests wait in the meantime. Not thread-safe.
 */
public final class SlotOwner {
    private static final double HOLD_TIME_SMOOTHING_FACTOR = 0.1;

    private final OwnerGeneration generation;
    private final SlotOwnerSettings settings;
    private final FairQueue<QueuedRequest> queue;
    private final Map<SlotRequestId, Ticket<QueuedRequest>> queuedRequests = new HashMap<>();
    private final Map<SlotRequestId, Grant> grants = new LinkedHashMap<>();
    private final SlotTable table = new SlotTable();
    private final Set<VmName> pendingReports = new HashSet<>();
    private MonotonicTime recoveryDeadline;
    private double meanHoldNanos;

    private record QueuedRequest(SlotRequest request, MonotonicTime receivedAt) {}

    private record Grant(BackendServerName server, MonotonicTime grantedAt, MonotonicTime expiresAt) {}

    private SlotOwner(OwnerGeneration generation, SlotOwnerSettings settings) {
        this.generation = generation;
        this.settings = settings;
        this.queue = new FairQueue<>(new FairQueueLimits(settings.queueLimit(), settings.accountQueueLimit()));
    }

    /**
     * Creates a slot owner.
     *
     * @param generation generation of this owner
     * @param settings settings
     * @param holders VMs that may hold grants of a previous owner, empty if there was none
     * @param longestGrant longest validity of a previous owner's grant
     * @param now current time
     * @return the owner; grants nothing until the usable backend servers are set
     */
    public static SlotOwner create(
            OwnerGeneration generation,
            SlotOwnerSettings settings,
            Set<VmName> holders,
            Duration longestGrant,
            MonotonicTime now) {
        SlotOwner owner = new SlotOwner(generation, settings);
        owner.pendingReports.addAll(holders);
        owner.recoveryDeadline = now.plus(longestGrant).plus(settings.clockMargin());
        return owner;
    }

    /**
     * Updates the usable backend servers and their numbers of slots.
     *
     * @param servers the usable servers; servers in slow start have fewer slots, ejected and leaving servers are
     *     omitted
     * @param now current time
     * @return decisions that became possible
     */
    public List<SlotDecision> updateServers(Collection<UsableServer> servers, MonotonicTime now) {
        table.updateServers(servers);
        return processQueue(now);
    }

    /**
     * Processes a slot request. A retry of a request that is queued or granted has no effect.
     *
     * @param request the slot request
     * @param now current time
     * @return the decision on it, unless it is queued, and other decisions that became possible
     */
    public List<SlotDecision> requestSlot(SlotRequest request, MonotonicTime now) {
        List<SlotDecision> decisions = new ArrayList<>(processQueue(now));
        if (grants.containsKey(request.id()) || queuedRequests.containsKey(request.id())) {
            return decisions;
        }
        Optional<SlotRefusal> refusal = refusal(request);
        if (refusal.isPresent()) {
            decisions.add(new SlotDecision.Refused(request.id(), refusal.get(), load()));
            return decisions;
        }
        enqueue(request, now, decisions);
        decisions.addAll(processQueue(now));
        return decisions;
    }

    private Optional<SlotRefusal> refusal(SlotRequest request) {
        if (table.slots() == 0) {
            return Optional.of(SlotRefusal.NO_BACKEND_SERVER);
        }
        return switch (request.mode()) {
            case QUEUE -> exceedsDeadline(request) ? Optional.of(SlotRefusal.DEADLINE) : Optional.empty();
            case IF_IDLE -> availableSlots() < 1 ? Optional.of(SlotRefusal.BUSY) : Optional.empty();
            case FROM_OTHER_REGION ->
                availableSlots() < 1 + reservedSlots() ? Optional.of(SlotRefusal.BUSY) : Optional.empty();
        };
    }

    private int availableSlots() {
        return isAwaitingReports() || queue.size() > 0 ? 0 : table.idle();
    }

    private int reservedSlots() {
        return table.slots() * settings.reservePermille() / 1000;
    }

    /**
     * Returns whether a slot request is likely to reach its deadline in the queue, so that it is refused early. Fair
     * queueing serves an account with few queued requests ahead of the others.
     */
    private boolean exceedsDeadline(SlotRequest request) {
        double meanReleaseInterval = meanHoldNanos / table.slots();
        if (queue.size() * meanReleaseInterval <= request.timeLeft().toNanos()) {
            return false;
        }
        long accounts =
                queuedRequests.values().stream().map(Ticket::account).distinct().count();
        long ahead = Math.min(queue.size(), (queue.size(request.account()) + 1L) * (accounts + 1));
        return ahead * meanReleaseInterval > request.timeLeft().toNanos();
    }

    private void enqueue(SlotRequest request, MonotonicTime now, List<SlotDecision> decisions) {
        MonotonicTime deadline = now.plus(request.timeLeft());
        switch (queue.offer(request.account(), request.weight(), new QueuedRequest(request, now), deadline, now)) {
            case OfferResult.Queued<QueuedRequest> q -> queuedRequests.put(request.id(), q.ticket());
            case OfferResult.Displaced<QueuedRequest> d -> {
                queuedRequests.put(request.id(), d.ticket());
                refuse(d.displaced(), SlotRefusal.QUEUE_FULL, decisions);
            }
            case OfferResult.Refused<QueuedRequest> r ->
                decisions.add(new SlotDecision.Refused(request.id(), toRefusal(r.reason()), load()));
        }
    }

    private static SlotRefusal toRefusal(OfferResult.Reason reason) {
        return switch (reason) {
            case ACCOUNT_FULL -> SlotRefusal.ACCOUNT_FULL;
            case QUEUE_FULL -> SlotRefusal.QUEUE_FULL;
            case DEADLINE_PASSED -> SlotRefusal.DEADLINE;
        };
    }

    private void refuse(Ticket<QueuedRequest> t, SlotRefusal reason, List<SlotDecision> decisions) {
        SlotRequestId id = t.item().request().id();
        queuedRequests.remove(id);
        decisions.add(new SlotDecision.Refused(id, reason, load()));
    }

    /**
     * Releases the grant of a request that has ended, or cancels a queued slot request.
     *
     * @param id identifier of the slot request
     * @param now current time
     * @return decisions that became possible
     */
    public List<SlotDecision> release(SlotRequestId id, MonotonicTime now) {
        Ticket<QueuedRequest> ticket = queuedRequests.remove(id);
        if (ticket != null) {
            queue.cancel(ticket);
        }
        Grant g = grants.remove(id);
        if (g != null) {
            table.release(g.server());
            updateMeanHoldTime(now.since(g.grantedAt()));
        }
        return processQueue(now);
    }

    private void updateMeanHoldTime(Duration held) {
        meanHoldNanos = meanHoldNanos == 0
                ? held.toNanos()
                : meanHoldNanos + HOLD_TIME_SMOOTHING_FACTOR * (held.toNanos() - meanHoldNanos);
    }

    /**
     * Expires the grants of a crashed holder after the cancel time and removes its queued slot requests.
     *
     * @param holder the crashed incarnation
     * @param now current time
     * @return decisions that became possible
     */
    public List<SlotDecision> holderDied(Incarnation holder, MonotonicTime now) {
        MonotonicTime stopped = now.plus(settings.cancelTime());
        grants.replaceAll((id, g) -> id.holder().equals(holder) && stopped.isBefore(g.expiresAt())
                ? new Grant(g.server(), g.grantedAt(), stopped)
                : g);
        List<SlotRequestId> removed = queuedRequests.keySet().stream()
                .filter(i -> i.holder().equals(holder))
                .toList();
        removed.forEach(i -> queue.cancel(queuedRequests.remove(i)));
        return processQueue(now);
    }

    /**
     * Applies a VM's report of grants issued by previous owners.
     *
     * @param holder the VM
     * @param held the grants that it still holds
     * @param now current time
     * @return decisions that became possible
     */
    public List<SlotDecision> applyReport(VmName holder, Collection<HeldGrant> held, MonotonicTime now) {
        if (pendingReports.remove(holder)) {
            for (HeldGrant h : held) {
                MonotonicTime expiresAt = now.plus(h.timeLeft()).plus(settings.clockMargin());
                if (grants.putIfAbsent(h.id(), new Grant(h.server(), now, expiresAt)) == null) {
                    table.markInUse(h.server());
                }
            }
        }
        return processQueue(now);
    }

    /**
     * Releases expired grants and refuses slot requests past their deadline.
     *
     * @param now current time
     * @return decisions that became due
     */
    public List<SlotDecision> tick(MonotonicTime now) {
        return processQueue(now);
    }

    private List<SlotDecision> processQueue(MonotonicTime now) {
        List<SlotDecision> decisions = new ArrayList<>();
        releaseExpiredGrants(now);
        queue.removeExpired(now).forEach(t -> refuse(t, SlotRefusal.DEADLINE, decisions));
        if (!now.isBefore(recoveryDeadline)) {
            pendingReports.clear();
        }
        while (!isAwaitingReports() && table.idle() > 0 && queue.size() > 0) {
            Selection<QueuedRequest> s = queue.take(now);
            s.expired().forEach(t -> refuse(t, SlotRefusal.DEADLINE, decisions));
            s.next().ifPresent(t -> decisions.add(grant(t.item(), now)));
        }
        return decisions;
    }

    private void releaseExpiredGrants(MonotonicTime now) {
        grants.values().removeIf(g -> {
            boolean expired = !now.isBefore(g.expiresAt());
            if (expired) {
                table.release(g.server());
            }
            return expired;
        });
    }

    private SlotDecision grant(QueuedRequest queued, MonotonicTime now) {
        SlotRequest request = queued.request();
        queuedRequests.remove(request.id());
        var server = table.acquire(request.id().holder().vm(), request.avoid());
        MonotonicTime expiresAt = queued.receivedAt().plus(request.timeLeft()).plus(settings.clockMargin());
        grants.put(request.id(), new Grant(server.name(), now, expiresAt));
        return new SlotDecision.Granted(request.id(), generation, server, request.timeLeft(), load());
    }

    /**
     * Returns whether reports of a previous owner's grants are outstanding.
     *
     * @return true while reports are outstanding; nothing is granted until then
     */
    public boolean isAwaitingReports() {
        return !pendingReports.isEmpty();
    }

    /**
     * Returns the VMs whose reports are outstanding.
     *
     * @return the VMs
     */
    public Set<VmName> pendingReports() {
        return Set.copyOf(pendingReports);
    }

    /**
     * Returns the generation of this owner.
     *
     * @return the generation
     */
    public OwnerGeneration generation() {
        return generation;
    }

    /**
     * Returns the current load.
     *
     * @return numbers of usable slots, granted slots and queued slot requests
     */
    public SlotLoad load() {
        return new SlotLoad(table.slots(), grants.size(), queue.size());
    }

    /**
     * Returns the number of granted slots on one backend server.
     *
     * @param server the server
     * @return the number of granted slots
     */
    public int inFlight(BackendServerName server) {
        return table.inUse(server);
    }
}
