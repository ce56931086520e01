package org.lycheetray.core.slots;

/** Reason why an owner refused a slot; the client request has not run. */
public enum SlotRefusal {
    /** No slot is idle and the slot request does not wait in the queue. */
    BUSY,
    /** The queue is full. */
    QUEUE_FULL,
    /** The client account has reached its limit of queued slot requests. */
    ACCOUNT_FULL,
    /** The request has reached its deadline or is expected to reach it before it gets a slot. */
    DEADLINE,
    /** No backend server is usable. */
    NO_BACKEND_SERVER,
    /** The VM that received the slot request does not own these slots. */
    NOT_OWNER
}
