package org.lycheetray.core.slots;

/** Why an owner refused a slot; the request was not run. */
public enum SlotRefusal {
    /** No slot is idle and the ask did not want to wait. */
    BUSY,
    /** The queue is full. */
    QUEUE_FULL,
    /** The client account has too many asks in the queue. */
    ACCOUNT_FULL,
    /** The request would not get a slot before its deadline. */
    DEADLINE,
    /** No backend server can be used. */
    NO_BACKEND_SERVER,
    /** The VM that was asked does not own these slots. */
    NOT_OWNER
}
