package org.lycheetray.core.slots;

/**
 * Load of one owner at one moment; lags as soon as it is sent.
 *
 * @param slots slots that can be used
 * @param inFlight slots that are granted
 * @param waiting asks in the queue
 */
public record SlotLoad(int slots, int inFlight, int waiting) {
    /** Load of an owner without slots. */
    public static final SlotLoad NONE = new SlotLoad(0, 0, 0);

    /**
     * Gives the number of idle slots.
     *
     * @return the number, 0 while more are granted than can be used
     */
    public int idle() {
        return Math.max(0, slots - inFlight);
    }
}
