package org.lycheetray.core.membership;

import java.util.Set;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * Heartbeat that one VM sends to another.
 *
 * @param from the sender
 * @param leaving true if the sender is about to shut down
 * @param leadTerm term of the sender's lead lease, {@link #NO_LEAD} if it does not act as lead
 * @param viewsDigest digest of the data centre views known to the sender; lets the receiver detect a lost view
 * @param unreachable data centres from which the sender, as a lead, receives no heartbeats
 */
public record Heartbeat(
        Incarnation from, boolean leaving, long leadTerm, long viewsDigest, Set<DataCentreName> unreachable) {
    /** Value of {@code leadTerm} if the sender does not act as lead. */
    public static final long NO_LEAD = -1;

    /** Makes a defensive copy of the set. */
    public Heartbeat {
        unreachable = Set.copyOf(unreachable);
    }

    /**
     * Returns whether the sender acts as lead of its data centre.
     *
     * @return true if it does
     */
    public boolean isLead() {
        return leadTerm != NO_LEAD;
    }
}
