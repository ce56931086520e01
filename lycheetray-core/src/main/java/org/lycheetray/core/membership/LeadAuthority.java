package org.lycheetray.core.membership;

/** How far a VM may act as lead of its data centre. */
public enum LeadAuthority {
    /** It is not the lead. */
    NONE,
    /**
     * It is the candidate, but the store cannot confirm it: another VM may act at the same time. Allows only what does no
     * harm when two do it, such as passing on configuration and views.
     */
    ACTING,
    /** It holds the lease: no other VM does. */
    LEASED;

    /**
     * Tells whether the VM acts as lead at all.
     *
     * @return true unless it is {@link #NONE}
     */
    public boolean acts() {
        return this != NONE;
    }
}
