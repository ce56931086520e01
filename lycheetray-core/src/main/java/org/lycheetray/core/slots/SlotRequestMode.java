package org.lycheetray.core.slots;

/** How an owner handles a slot request when no slot is idle. */
public enum SlotRequestMode {
    /** Wait in the weighted fair queue. */
    QUEUE,
    /** Refuse immediately, so that the requester can try another owner. */
    IF_IDLE,
    /** Refuse immediately, also when only slots reserved for requests of the owner's region are idle. */
    FROM_OTHER_REGION
}
