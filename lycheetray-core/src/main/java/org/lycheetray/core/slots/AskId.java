package org.lycheetray.core.slots;

import org.lycheetray.core.model.Incarnation;

/**
 * Identity of one ask for a slot, and of the grant that answers it.
 *
 * @param holder process that asks
 * @param number unique within that process
 */
public record AskId(Incarnation holder, long number) {
    @Override
    public String toString() {
        return holder + "#" + number;
    }
}
