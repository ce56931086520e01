package org.lycheetray.core.fair;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Requests that wait for a slot, taken in weighted deficit round robin between client accounts.
 *
 * <p>Each round gives every client account that has requests waiting as many turns as its weight, so that a client
 * account at several times its rate only lengthens its own queue. Within an account the order is first come, first
 * served. Waiting room is shared in the same manner: when the queue is full, a request of an account that holds less
 * than another, by weight, displaces the newest request of the one that holds most.
 *
 * <p>Nothing is dropped silently: every request that was offered comes back exactly once, as refused or displaced by
 * {@link #offer}, as taken or expired by {@link #take} or {@link #expire}, or by {@link #cancel}. State is kept for
 * client accounts with waiting requests only. For one thread.
 *
 * <p>Source: M. Shreedhar and G. Varghese, "Efficient Fair Queuing Using Deficit Round Robin", SIGCOMM 1995; the
 * displacement is longest-queue drop as in that paper's discussion of buffer stealing.
 *
 * @param <T> type of the waiting requests
 */
public final class FairQueue<T> {
    private final FairQueueLimits limits;
    private final Map<ClientAccountName, AccountQueue<T>> queues = new HashMap<>();
    private final ArrayDeque<AccountQueue<T>> roundRobin = new ArrayDeque<>();
    private final TreeSet<Ticket<T>> byDeadline = new TreeSet<>(
            Comparator.<Ticket<T>, MonotonicTime>comparing(Ticket::deadline).thenComparingLong(Ticket::sequence));
    private long nextSequence;

    /**
     * Creates an empty queue.
     *
     * @param limits how many requests may wait
     */
    public FairQueue(FairQueueLimits limits) {
        this.limits = limits;
    }

    /**
     * Tells how many requests wait.
     *
     * @return the number, expired ones that were not yet handed back included
     */
    public int size() {
        return byDeadline.size();
    }

    /**
     * Tells how many requests of one client account wait.
     *
     * @param account name of the account
     * @return the number
     */
    public int size(ClientAccountName account) {
        AccountQueue<T> q = queues.get(account);
        return q == null ? 0 : q.waiting.size();
    }

    /**
     * Offers a request.
     *
     * @param account client account it runs for
     * @param weight turns of the account in each round, at least 1; the last value given counts
     * @param item the request
     * @param deadline latest point at which it is of use to start it
     * @param now present point
     * @return whether it waits, and which other request had to yield
     */
    public Offer<T> offer(ClientAccountName account, int weight, T item, MonotonicTime deadline, MonotonicTime now) {
        if (weight < 1) {
            throw new IllegalArgumentException("weight of client account " + account + " is below 1: " + weight);
        }
        if (!now.isBefore(deadline)) {
            return new Offer.Refused<>(Offer.Reason.DEADLINE_PASSED);
        }
        if (size(account) >= limits.perAccount()) {
            return new Offer.Refused<>(Offer.Reason.ACCOUNT_FULL);
        }
        Ticket<T> ticket = new Ticket<>(account, item, deadline, nextSequence++);
        if (size() < limits.total()) {
            add(ticket, weight);
            return new Offer.Queued<>(ticket);
        }
        return displace(ticket, weight);
    }

    private Offer<T> displace(Ticket<T> ticket, int weight) {
        AccountQueue<T> largest = roundRobin.stream()
                .max(Comparator.comparingDouble(AccountQueue::weightedSize))
                .orElseThrow();
        double loadAfter = (size(ticket.account()) + 1) / (double) weight;
        if (largest.name.equals(ticket.account()) || largest.weightedSize() <= loadAfter) {
            return new Offer.Refused<>(Offer.Reason.QUEUE_FULL);
        }
        Ticket<T> newest = largest.waiting.getLast();
        remove(newest);
        add(ticket, weight);
        return new Offer.Displaced<>(ticket, newest);
    }

    /**
     * Takes the request whose turn it is.
     *
     * @param now present point
     * @return the request, none of those whose deadline has passed, and all of the latter
     */
    public Selection<T> take(MonotonicTime now) {
        List<Ticket<T>> expired = expire(now);
        AccountQueue<T> q = roundRobin.peekFirst();
        if (q == null) {
            return new Selection<>(Optional.empty(), expired);
        }
        if (q.deficit < 1) {
            q.deficit += q.weight;
        }
        q.deficit--;
        Ticket<T> next = q.waiting.getFirst();
        remove(next);
        if (!q.waiting.isEmpty() && q.deficit < 1) {
            roundRobin.addLast(roundRobin.removeFirst());
        }
        return new Selection<>(Optional.of(next), expired);
    }

    /**
     * Removes the requests whose deadline has passed.
     *
     * @param now present point
     * @return the requests, earliest deadline first; each must be refused as not run
     */
    public List<Ticket<T>> expire(MonotonicTime now) {
        List<Ticket<T>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && !now.isBefore(byDeadline.first().deadline())) {
            Ticket<T> first = byDeadline.first();
            remove(first);
            expired.add(first);
        }
        return expired;
    }

    /**
     * Tells when {@link #expire} will next find something.
     *
     * @return earliest deadline of a waiting request
     */
    public Optional<MonotonicTime> nextDeadline() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().deadline());
    }

    /**
     * Removes a request whose caller has gone.
     *
     * @param ticket names the request
     * @return false if it no longer waits
     */
    public boolean cancel(Ticket<T> ticket) {
        boolean waiting = byDeadline.contains(ticket);
        if (waiting) {
            remove(ticket);
        }
        return waiting;
    }

    private void add(Ticket<T> ticket, int weight) {
        AccountQueue<T> q = queues.computeIfAbsent(ticket.account(), this::addAccountQueue);
        q.weight = weight;
        q.waiting.add(ticket);
        byDeadline.add(ticket);
    }

    private AccountQueue<T> addAccountQueue(ClientAccountName account) {
        AccountQueue<T> q = new AccountQueue<>(account);
        roundRobin.addLast(q);
        return q;
    }

    private void remove(Ticket<T> ticket) {
        AccountQueue<T> q = queues.get(ticket.account());
        q.waiting.remove(ticket);
        byDeadline.remove(ticket);
        if (q.waiting.isEmpty()) {
            queues.remove(q.name);
            roundRobin.remove(q);
        }
    }

    /** Waiting requests of one client account, oldest first, and the turns it has left in this round. */
    private static final class AccountQueue<T> {
        private final ClientAccountName name;
        private final LinkedHashSet<Ticket<T>> waiting = new LinkedHashSet<>();
        private int weight;
        private int deficit;

        AccountQueue(ClientAccountName name) {
            this.name = name;
        }

        double weightedSize() {
            return waiting.size() / (double) weight;
        }
    }
}
