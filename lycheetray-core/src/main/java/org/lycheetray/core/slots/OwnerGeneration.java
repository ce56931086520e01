package org.lycheetray.core.slots;

import org.lycheetray.core.model.Incarnation;

/**
 * Order of the owners that follow one another.
 *
 * @param number grows with each take-over
 * @param owner the owning process; orders equal numbers
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
