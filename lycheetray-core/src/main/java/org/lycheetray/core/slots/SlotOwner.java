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
import org.lycheetray.core.fair.Offer;
import org.lycheetray.core.fair.Selection;
import org.lycheetray.core.fair.Ticket;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.internal.SlotTable;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Grants the slots of one service's backend servers in one data centre.
 *
 * <p>Counts are exact: a slot is in use from the grant until it is given back, lapses, or its holder has died and the
 * backend server has had time to notice. So no decision puts more requests on a backend server than it has slots,
 * however many VMs ask at once. While slots are contended, asks wait in weighted deficit round robin per client account.
 *
 * <p>A new owner does not know what its predecessor granted. It grants nothing until each VM that may hold a grant has
 * reported, or the longest grant has lapsed; asks wait in the meantime. For one thread.
 */
public final class SlotOwner {
    private static final double HOLD_TIME_GAIN = 0.1;

    private final OwnerGeneration generation;
    private final SlotOwnerSettings settings;
    private final FairQueue<Waiting> queue;
    private final Map<AskId, Ticket<Waiting>> waiting = new HashMap<>();
    private final Map<AskId, Grant> grants = new LinkedHashMap<>();
    private final SlotTable table = new SlotTable();
    private final Set<VmName> reportsDue = new HashSet<>();
    private MonotonicTime learningUntil;
    private double holdNanos;

    private record Waiting(SlotAsk ask, MonotonicTime receivedAt) {}

    private record Grant(BackendServerName server, MonotonicTime grantedAt, MonotonicTime lapsesAt) {}

    private SlotOwner(OwnerGeneration generation, SlotOwnerSettings settings) {
        this.generation = generation;
        this.settings = settings;
        this.queue = new FairQueue<>(new FairQueueLimits(settings.queueLimit(), settings.accountQueueLimit()));
    }

    /**
     * Creates an owner of slots.
     *
     * @param generation this owner's place among its predecessors
     * @param settings settings
     * @param holders VMs that may hold grants of a predecessor, empty if there was none
     * @param longestGrant longest validity of a predecessor's grant
     * @param now the present
     * @return the owner; it grants nothing until it was told the backend servers
     */
    public static SlotOwner create(
            OwnerGeneration generation,
            SlotOwnerSettings settings,
            Set<VmName> holders,
            Duration longestGrant,
            MonotonicTime now) {
        SlotOwner owner = new SlotOwner(generation, settings);
        owner.reportsDue.addAll(holders);
        owner.learningUntil = now.plus(longestGrant).plus(settings.clockMargin());
        return owner;
    }

    /**
     * Sets which backend servers can be used, with how many slots each.
     *
     * @param servers the servers, cold ones with fewer slots, ejected and leaving ones left out
     * @param now the present
     * @return answers that became possible
     */
    public List<SlotEffect> use(Collection<UsableServer> servers, MonotonicTime now) {
        table.use(servers);
        return serve(now);
    }

    /**
     * Takes an ask.
     *
     * @param ask the ask
     * @param now the present
     * @return its answer, unless it waits; and others that became possible
     */
    public List<SlotEffect> ask(SlotAsk ask, MonotonicTime now) {
        List<SlotEffect> effects = new ArrayList<>(serve(now));
        if (grants.containsKey(ask.id()) || waiting.containsKey(ask.id())) {
            return effects;
        }
        Optional<SlotRefusal> refusal = refusal(ask);
        if (refusal.isPresent()) {
            effects.add(new SlotEffect.Refused(ask.id(), refusal.get(), load()));
            return effects;
        }
        offer(ask, now, effects);
        effects.addAll(serve(now));
        return effects;
    }

    private Optional<SlotRefusal> refusal(SlotAsk ask) {
        if (table.slots() == 0) {
            return Optional.of(SlotRefusal.NO_BACKEND_SERVER);
        }
        return switch (ask.mode()) {
            case QUEUE -> exceedsDeadline(ask) ? Optional.of(SlotRefusal.DEADLINE) : Optional.empty();
            case IF_IDLE -> spare() < 1 ? Optional.of(SlotRefusal.BUSY) : Optional.empty();
            case FROM_OTHER_REGION -> spare() < 1 + reserve() ? Optional.of(SlotRefusal.BUSY) : Optional.empty();
        };
    }

    private int spare() {
        return isLearning() || queue.size() > 0 ? 0 : table.idle();
    }

    private int reserve() {
        return table.slots() * settings.reservePermille() / 1000;
    }

    /** Refuses early what would wait in vain; an account with little in the queue passes the others. */
    private boolean exceedsDeadline(SlotAsk ask) {
        double turn = holdNanos / table.slots();
        if (queue.size() * turn <= ask.timeLeft().toNanos()) {
            return false;
        }
        long accounts =
                waiting.values().stream().map(Ticket::account).distinct().count();
        long ahead = Math.min(queue.size(), (queue.size(ask.account()) + 1L) * (accounts + 1));
        return ahead * turn > ask.timeLeft().toNanos();
    }

    private void offer(SlotAsk ask, MonotonicTime now, List<SlotEffect> effects) {
        MonotonicTime deadline = now.plus(ask.timeLeft());
        switch (queue.offer(ask.account(), ask.weight(), new Waiting(ask, now), deadline, now)) {
            case Offer.Queued<Waiting> q -> waiting.put(ask.id(), q.ticket());
            case Offer.Displaced<Waiting> d -> {
                waiting.put(ask.id(), d.ticket());
                refuse(d.displaced(), SlotRefusal.QUEUE_FULL, effects);
            }
            case Offer.Refused<Waiting> r ->
                effects.add(new SlotEffect.Refused(ask.id(), refusalOf(r.reason()), load()));
        }
    }

    private static SlotRefusal refusalOf(Offer.Reason reason) {
        return switch (reason) {
            case ACCOUNT_FULL -> SlotRefusal.ACCOUNT_FULL;
            case QUEUE_FULL -> SlotRefusal.QUEUE_FULL;
            case DEADLINE_PASSED -> SlotRefusal.DEADLINE;
        };
    }

    private void refuse(Ticket<Waiting> t, SlotRefusal reason, List<SlotEffect> effects) {
        AskId id = t.item().ask().id();
        waiting.remove(id);
        effects.add(new SlotEffect.Refused(id, reason, load()));
    }

    /**
     * Takes a grant back whose request has ended, or forgets an ask that is no longer wanted.
     *
     * @param id the ask
     * @param now the present
     * @return answers that became possible
     */
    public List<SlotEffect> release(AskId id, MonotonicTime now) {
        Ticket<Waiting> ticket = waiting.remove(id);
        if (ticket != null) {
            queue.cancel(ticket);
        }
        Grant g = grants.remove(id);
        if (g != null) {
            table.giveBack(g.server());
            learnHoldTime(now.since(g.grantedAt()));
        }
        return serve(now);
    }

    private void learnHoldTime(Duration held) {
        holdNanos = holdNanos == 0 ? held.toNanos() : holdNanos + HOLD_TIME_GAIN * (held.toNanos() - holdNanos);
    }

    /**
     * Takes note that a holder's process has died.
     *
     * @param holder the process
     * @param now the present
     * @return answers that became possible
     */
    public List<SlotEffect> holderDied(Incarnation holder, MonotonicTime now) {
        MonotonicTime stopped = now.plus(settings.cancelTime());
        grants.replaceAll((id, g) -> id.holder().equals(holder) && stopped.isBefore(g.lapsesAt())
                ? new Grant(g.server(), g.grantedAt(), stopped)
                : g);
        List<AskId> forgotten =
                waiting.keySet().stream().filter(i -> i.holder().equals(holder)).toList();
        forgotten.forEach(i -> queue.cancel(waiting.remove(i)));
        return serve(now);
    }

    /**
     * Takes a VM's report of grants by this owner's predecessors.
     *
     * @param holder the VM
     * @param held what it still holds
     * @param now the present
     * @return answers that became possible
     */
    public List<SlotEffect> reported(VmName holder, Collection<HeldGrant> held, MonotonicTime now) {
        if (reportsDue.remove(holder)) {
            for (HeldGrant h : held) {
                MonotonicTime lapses = now.plus(h.timeLeft()).plus(settings.clockMargin());
                if (grants.putIfAbsent(h.id(), new Grant(h.server(), now, lapses)) == null) {
                    table.take(h.server());
                }
            }
        }
        return serve(now);
    }

    /**
     * Lets time pass: lapsed grants are taken back, asks past their deadline refused.
     *
     * @param now the present
     * @return answers that became due
     */
    public List<SlotEffect> tick(MonotonicTime now) {
        return serve(now);
    }

    private List<SlotEffect> serve(MonotonicTime now) {
        List<SlotEffect> effects = new ArrayList<>();
        takeBackLapsed(now);
        queue.expire(now).forEach(t -> refuse(t, SlotRefusal.DEADLINE, effects));
        if (!now.isBefore(learningUntil)) {
            reportsDue.clear();
        }
        while (!isLearning() && table.idle() > 0 && queue.size() > 0) {
            Selection<Waiting> s = queue.take(now);
            s.expired().forEach(t -> refuse(t, SlotRefusal.DEADLINE, effects));
            s.next().ifPresent(t -> effects.add(grant(t.item(), now)));
        }
        return effects;
    }

    private void takeBackLapsed(MonotonicTime now) {
        grants.values().removeIf(g -> {
            boolean lapsed = !now.isBefore(g.lapsesAt());
            if (lapsed) {
                table.giveBack(g.server());
            }
            return lapsed;
        });
    }

    private SlotEffect grant(Waiting w, MonotonicTime now) {
        SlotAsk ask = w.ask();
        waiting.remove(ask.id());
        var server = table.takeBest(ask.id().holder().vm(), ask.avoid());
        MonotonicTime lapses = w.receivedAt().plus(ask.timeLeft()).plus(settings.clockMargin());
        grants.put(ask.id(), new Grant(server.name(), now, lapses));
        return new SlotEffect.Granted(ask.id(), generation, server, ask.timeLeft(), load());
    }

    /**
     * Tells whether reports of a predecessor's grants are still awaited.
     *
     * @return true while nothing is granted
     */
    public boolean isLearning() {
        return !reportsDue.isEmpty();
    }

    /**
     * Names the VMs that have not reported yet.
     *
     * @return the VMs to ask
     */
    public Set<VmName> reportsDue() {
        return Set.copyOf(reportsDue);
    }

    /**
     * Gives this owner's generation.
     *
     * @return the generation
     */
    public OwnerGeneration generation() {
        return generation;
    }

    /**
     * Gives the present load.
     *
     * @return slots, requests in flight and asks waiting
     */
    public SlotLoad load() {
        return new SlotLoad(table.slots(), grants.size(), queue.size());
    }

    /**
     * Tells how many grants of one backend server are in use.
     *
     * @param server the server
     * @return the number
     */
    public int inFlight(BackendServerName server) {
        return table.inUse(server);
    }
}
