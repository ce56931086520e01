package org.lycheetray.core.membership;

import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * Membership of one data centre, as published by its lead.
 *
 * <p>Versions are Lamport clocks: a lead assigns a version above every version of the data centre that it knows, so the
 * views of a new lead replace those of its predecessor without coordination through the store. Equal versions are
 * ordered by author.
 *
 * @param dataCentre the data centre
 * @param version version, increases with every change
 * @param author the lead that published the view
 * @param members all members that have sent a heartbeat
 */
public record DataCentreView(DataCentreName dataCentre, long version, Incarnation author, List<Member> members) {
    /** Makes a defensive copy of the list. */
    public DataCentreView {
        members = List.copyOf(members);
    }

    /**
     * Returns whether this view replaces another view of the same data centre.
     *
     * @param o the other view
     * @return true if this view is newer
     */
    public boolean isNewerThan(DataCentreView o) {
        if (version != o.version) {
            return version > o.version;
        }
        if (author.number() != o.author.number()) {
            return author.number() > o.author.number();
        }
        return author.vm().compareTo(o.author.vm()) > 0;
    }
}
