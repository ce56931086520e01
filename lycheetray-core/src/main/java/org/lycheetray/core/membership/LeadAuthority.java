package org.lycheetray.core.membership;

/** Authority of a VM to act as lead of its data centre. */
public enum LeadAuthority {
    /** The VM is not the lead. */
    NONE,
    /**
     * The VM is the lead candidate, but the store cannot confirm it, so two VMs may act as lead at the same time.
     * Permits only actions that are safe with two leads, such as distributing configuration and views.
     */
    ACTING,
    /** The VM holds the lease exclusively. */
    LEASED;

    /**
     * Returns whether the VM may act as lead, with or without a lease.
     *
     * @return true unless it is {@link #NONE}
     */
    public boolean canActAsLead() {
        return this != NONE;
    }
}
