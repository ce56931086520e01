package org.lycheetray.core.slots;

import java.time.Duration;
import org.lycheetray.core.model.BackendServer;

/** Decision of an owner on a slot request. */
public sealed interface SlotDecision {
    /**
     * Returns the identifier of the slot request.
     *
     * @return the identifier
     */
    SlotRequestId id();

    /**
     * A granted slot.
     *
     * @param id identifier of the slot request
     * @param generation the owner's generation; a holder that has reported to a later owner must not use the grant
     * @param server the backend server
     * @param validity validity of the grant, counted from the time at which the holder sent the slot request
     * @param load the owner's load
     */
    record Granted(SlotRequestId id, OwnerGeneration generation, BackendServer server, Duration validity, SlotLoad load)
            implements SlotDecision {}

    /**
     * A refused slot request; the client request has not run.
     *
     * @param id identifier of the slot request
     * @param reason reason for the refusal
     * @param load the owner's load
     */
    record Refused(SlotRequestId id, SlotRefusal reason, SlotLoad load) implements SlotDecision {}
}
