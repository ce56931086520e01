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
 * Queue of requests that wait for a slot, scheduled by weighted deficit round robin over client accounts.
 *
 * <p>In each round every client account with waiting requests gets as many turns as its weight, so that an account at
 * several times its rate only lengthens its own queue. Requests of the same account are served in FIFO order. Queue
 * capacity is shared in the same way: when the queue is full, a request of an account that uses less of it in relation
 * to its weight displaces the newest request of the account that uses most.
 *
 * <p>No request is dropped silently. Each request is returned exactly once: as refused or displaced by {@link #offer},
 * as taken or expired by {@link #take} or {@link #removeExpired}, or by {@link #cancel}. State is kept only for client
 * accounts with waiting requests. Not thread-safe.
 *
 * <p>See M. Shreedhar and G. Varghese, "Efficient Fair Queuing Using Deficit Round Robin", SIGCOMM 1995; the
 * displacement is the longest-queue drop that the paper discusses as buffer stealing.
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
     * @param limits maximum numbers of waiting requests
     */
    public FairQueue(FairQueueLimits limits) {
        this.limits = limits;
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number, including expired requests that were not returned yet
     */
    public int size() {
        return byDeadline.size();
    }

    /**
     * Returns the number of waiting requests of a client account.
     *
     * @param account name of the account
     * @return the number
     */
    public int size(ClientAccountName account) {
        AccountQueue<T> q = queues.get(account);
        return q == null ? 0 : q.waiting.size();
    }

    /**
     * Adds a request to the queue unless a limit or its deadline prevents it.
     *
     * @param account client account of the request
     * @param weight turns of the account in each round, at least 1; replaces the weight of earlier calls
     * @param item the request
     * @param deadline time after which the request must not be started any more
     * @param now current time
     * @return whether the request was queued, and which other request it displaced
     */
    public OfferResult<T> offer(
            ClientAccountName account, int weight, T item, MonotonicTime deadline, MonotonicTime now) {
        if (weight < 1) {
            throw new IllegalArgumentException(
                    "weight of client account " + account + " must be at least 1: " + weight);
        }
        if (!now.isBefore(deadline)) {
            return new OfferResult.Refused<>(OfferResult.Reason.DEADLINE_PASSED);
        }
        if (size(account) >= limits.perAccount()) {
            return new OfferResult.Refused<>(OfferResult.Reason.ACCOUNT_FULL);
        }
        Ticket<T> ticket = new Ticket<>(account, item, deadline, nextSequence++);
        if (size() < limits.total()) {
            add(ticket, weight);
            return new OfferResult.Queued<>(ticket);
        }
        return displace(ticket, weight);
    }

    private OfferResult<T> displace(Ticket<T> ticket, int weight) {
        AccountQueue<T> largest = roundRobin.stream()
                .max(Comparator.comparingDouble(AccountQueue::weightedSize))
                .orElseThrow();
        double loadAfter = (size(ticket.account()) + 1) / (double) weight;
        if (largest.name.equals(ticket.account()) || largest.weightedSize() <= loadAfter) {
            return new OfferResult.Refused<>(OfferResult.Reason.QUEUE_FULL);
        }
        Ticket<T> newest = largest.waiting.getLast();
        remove(newest);
        add(ticket, weight);
        return new OfferResult.Displaced<>(ticket, newest);
    }

    /**
     * Removes and returns the request whose turn it is.
     *
     * @param now current time
     * @return the next request whose deadline has not passed, and all requests that have expired
     */
    public Selection<T> take(MonotonicTime now) {
        List<Ticket<T>> expired = removeExpired(now);
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
     * Removes and returns the requests whose deadline has passed.
     *
     * @param now current time
     * @return the requests, earliest deadline first; the caller must refuse each as not run
     */
    public List<Ticket<T>> removeExpired(MonotonicTime now) {
        List<Ticket<T>> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && !now.isBefore(byDeadline.first().deadline())) {
            Ticket<T> first = byDeadline.first();
            remove(first);
            expired.add(first);
        }
        return expired;
    }

    /**
     * Returns the time from which {@link #removeExpired} will return a request.
     *
     * @return the earliest deadline of a waiting request, or empty if no request waits
     */
    public Optional<MonotonicTime> nextDeadline() {
        return byDeadline.isEmpty()
                ? Optional.empty()
                : Optional.of(byDeadline.first().deadline());
    }

    /**
     * Removes a request whose caller has disconnected.
     *
     * @param ticket identifies the request
     * @return true if the request was removed, false if it was not waiting any more
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

    /** Waiting requests of one client account, oldest first, and the turns left to it in the current round. */
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
