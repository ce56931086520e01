package org.lycheetray.core.slots;

import java.time.Duration;
import org.lycheetray.core.model.BackendServer;

/** What an owner tells those who asked it. */
public sealed interface SlotEffect {
    /**
     * The ask that is answered.
     *
     * @return its identity
     */
    AskId id();

    /**
     * A slot is granted.
     *
     * @param id the ask
     * @param generation the owner; a holder that has reported to a later one must not use the grant
     * @param server the backend server
     * @param validity how long the grant holds, counted by the holder from when it sent the ask
     * @param load the owner's load
     */
    record Granted(AskId id, OwnerGeneration generation, BackendServer server, Duration validity, SlotLoad load)
            implements SlotEffect {}

    /**
     * The ask is refused; the request was not run.
     *
     * @param id the ask
     * @param reason why
     * @param load the owner's load
     */
    record Refused(AskId id, SlotRefusal reason, SlotLoad load) implements SlotEffect {}
}
