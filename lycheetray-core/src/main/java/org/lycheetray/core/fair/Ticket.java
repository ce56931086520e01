package org.lycheetray.core.fair;

import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A request in a {@link FairQueue}. Compared by identity.
 *
 * @param <T> type of the waiting requests
 */
public final class Ticket<T> {
    private final ClientAccountName account;
    private final T item;
    private final MonotonicTime deadline;
    private final long sequence;

    Ticket(ClientAccountName account, T item, MonotonicTime deadline, long sequence) {
        this.account = account;
        this.item = item;
        this.deadline = deadline;
        this.sequence = sequence;
    }

    /**
     * Returns the client account of the request.
     *
     * @return the account name
     */
    public ClientAccountName account() {
        return account;
    }

    /**
     * Returns the request.
     *
     * @return the item passed to {@link FairQueue#offer}
     */
    public T item() {
        return item;
    }

    /**
     * Returns the time after which the request must not be started any more.
     *
     * @return the deadline on the monotonic clock of this process
     */
    public MonotonicTime deadline() {
        return deadline;
    }

    long sequence() {
        return sequence;
    }

    @Override
    public String toString() {
        return account + "#" + sequence;
    }
}
