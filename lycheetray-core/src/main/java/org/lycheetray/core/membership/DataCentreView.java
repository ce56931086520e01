package org.lycheetray.core.membership;

import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * Members of one data centre as its lead sees them.
 *
 * <p>Versions are Lamport clocks: a lead numbers its view above every version of that data centre that it has seen, so
 * a successor's views replace its predecessor's without a store. Equal versions are ordered by author.
 *
 * @param dataCentre the data centre
 * @param version grows with every change
 * @param author the lead that made the view
 * @param members the members that were ever heard of
 */
public record DataCentreView(DataCentreName dataCentre, long version, Incarnation author, List<Member> members) {
    /** Copies the list. */
    public DataCentreView {
        members = List.copyOf(members);
    }

    /**
     * Tells whether this view replaces another one of the same data centre.
     *
     * @param o the other view
     * @return true if this one is newer
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
