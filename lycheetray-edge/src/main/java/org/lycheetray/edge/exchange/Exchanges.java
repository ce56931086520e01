package org.lycheetray.edge.exchange;

import java.util.function.Consumer;
import org.lycheetray.core.model.ServiceName;

/** All exchanges in progress. For the event loop. */
public final class Exchanges {
    private final ExchangeParts parts;
    private final WaitingRoom room = new WaitingRoom();
    private long sequence;
    private int inProgress;
    private boolean refusing;
    private boolean wakePending;

    /**
     * Creates a set without exchanges.
     *
     * @param parts what the exchanges use
     */
    public Exchanges(ExchangeParts parts) {
        this.parts = parts;
    }

    /**
     * Starts an exchange.
     *
     * @param request the request
     * @param responder takes the reply, once, unless the caller leaves before
     * @return the exchange
     */
    public Exchange start(IncomingRequest request, Consumer<Reply> responder) {
        inProgress++;
        Exchange e = new Exchange(this, parts, request, sequence++, responder);
        e.start();
        return e;
    }

    /** Refuses all further requests as not run, since the VM is leaving. */
    public void refuse() {
        refusing = true;
    }

    /**
     * Exchanges that are not over.
     *
     * @return the number
     */
    public int inProgress() {
        return inProgress;
    }

    /**
     * Exchanges that wait for room.
     *
     * @return the number
     */
    public int waiting() {
        return room.size();
    }

    /** Lets waiting exchanges try again, most urgent first. */
    public void wake() {
        for (ServiceName s : room.services()) {
            room.inOrder(s).forEach(Exchange::retryPlacement);
        }
    }

    /** Wakes after the present event, when its connection is free again. */
    void wakeSoon() {
        if (!wakePending && room.size() > 0) {
            wakePending = true;
            parts.loop().execute(() -> {
                wakePending = false;
                wake();
            });
        }
    }

    boolean isRefusing() {
        return refusing;
    }

    WaitingRoom room() {
        return room;
    }

    void over() {
        inProgress--;
    }
}
