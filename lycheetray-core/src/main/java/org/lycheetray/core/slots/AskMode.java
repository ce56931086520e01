package org.lycheetray.core.slots;

/** What to do with an ask while no slot is idle. */
public enum AskMode {
    /** Wait in the fair queue. */
    QUEUE,
    /** Be refused at once; the asker tries elsewhere. */
    IF_IDLE,
    /** Be refused at once, and also when only the reserve for the region's own requests is idle. */
    FROM_OTHER_REGION
}
