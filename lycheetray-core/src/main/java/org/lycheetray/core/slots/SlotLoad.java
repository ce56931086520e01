package org.lycheetray.core.slots;

/**
 * Snapshot of an owner's load; out of date as soon as it is sent.
 *
 * @param slots number of usable slots
 * @param inFlight number of granted slots
 * @param waiting number of queued slot requests
 */
public record SlotLoad(int slots, int inFlight, int waiting) {
    /** Load of an owner without slots. */
    public static final SlotLoad NONE = new SlotLoad(0, 0, 0);

    /**
     * Returns the number of idle slots.
     *
     * @return the number of idle slots, 0 if more slots are granted than usable
     */
    public int idle() {
        return Math.max(0, slots - inFlight);
    }
}
