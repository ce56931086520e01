package org.lycheetray.core.slots;

import org.lycheetray.core.model.Incarnation;

/**
 * Position of an owner in the succession of owners of the same slots.
 *
 * @param number increases with each change of owner
 * @param owner the owning incarnation; breaks ties between equal numbers
 */
public record OwnerGeneration(long number, Incarnation owner) implements Comparable<OwnerGeneration> {
    @Override
    public int compareTo(OwnerGeneration o) {
        int byNumber = Long.compare(number, o.number);
        if (byNumber != 0) {
            return byNumber;
        }
        int byIncarnation = Long.compare(owner.number(), o.owner.number());
        return byIncarnation != 0 ? byIncarnation : owner.vm().compareTo(o.owner.vm());
    }
}
