package org.lycheetray.core.fair;

import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A request in a {@link FairQueue}; compared by identity.
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
     * The client account that the request runs for.
     *
     * @return its name
     */
    public ClientAccountName account() {
        return account;
    }

    /**
     * The request.
     *
     * @return what was offered
     */
    public T item() {
        return item;
    }

    /**
     * The latest point at which it is of use to start the request.
     *
     * @return a point on this process's clock
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
