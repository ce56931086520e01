package org.lycheetray.core.membership;

/** State of an entry VM according to the failure detector. */
public enum MemberState {
    /** Declared, but no heartbeat received yet. */
    UNKNOWN,
    /** Sent a heartbeat within the suspicion timeout. */
    LIVE,
    /** Alive, but about to shut down; completes requests in progress and gets no new ones. */
    LEAVING,
    /** No heartbeat within the suspicion timeout; reconnection is attempted before the VM is declared dead. */
    SUSPECT,
    /** No heartbeat after reconnection either, or silent and absent from the platform's VM list. */
    DEAD;

    /**
     * Returns whether the VM may get new requests.
     *
     * @return true if it is live
     */
    public boolean acceptsNewRequests() {
        return this == LIVE;
    }
}
