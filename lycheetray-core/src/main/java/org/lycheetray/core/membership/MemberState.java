package org.lycheetray.core.membership;

/** What is known of an entry VM. */
public enum MemberState {
    /** Declared, but nothing was heard of it yet. */
    UNKNOWN,
    /** Heard of within the suspicion period. */
    LIVE,
    /** Alive, but about to stop: finishes what it has and gets nothing new. */
    LEAVING,
    /** Silent; its connection is being dialled again before it is called dead. */
    SUSPECT,
    /** Silent on a fresh connection too, or gone from the platform's list while silent. */
    DEAD;

    /**
     * Tells whether new work may go to the VM.
     *
     * @return true if it is live
     */
    public boolean takesNewWork() {
        return this == LIVE;
    }
}
