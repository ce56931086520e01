package org.lycheetray.core.membership;

import java.util.Set;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * A sign of life that one VM sends to another.
 *
 * @param from the sender
 * @param leaving true if the sender is about to stop
 * @param leadTerm term of the sender's lead lease, {@link #NO_LEAD} if it does not act as lead
 * @param viewsDigest digest of the data centre views that the sender knows, to detect a missed one
 * @param unreachable data centres that the sender, as a lead, hears nothing from
 */
public record Heartbeat(
        Incarnation from, boolean leaving, long leadTerm, long viewsDigest, Set<DataCentreName> unreachable) {
    /** Value of {@code leadTerm} of a VM that does not act as lead. */
    public static final long NO_LEAD = -1;

    /** Copies the set. */
    public Heartbeat {
        unreachable = Set.copyOf(unreachable);
    }

    /**
     * Tells whether the sender acts as lead of its data centre.
     *
     * @return true if it does
     */
    public boolean isLead() {
        return leadTerm != NO_LEAD;
    }
}
