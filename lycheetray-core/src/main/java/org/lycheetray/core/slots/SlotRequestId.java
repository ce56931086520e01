package org.lycheetray.core.slots;

import org.lycheetray.core.model.Incarnation;

/**
 * Identifier of a slot request and of the grant issued for it.
 *
 * @param holder incarnation that requests the slot
 * @param number sequence number, unique within that incarnation
 */
public record SlotRequestId(Incarnation holder, long number) {
    @Override
    public String toString() {
        return holder + "#" + number;
    }
}
