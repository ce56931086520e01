package org.lycheetray.core.slots;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;

/**
 * A grant still in use, as reported by its holder to a new owner.
 *
 * @param id identifier of the slot request
 * @param server the backend server
 * @param timeLeft time until the grant expires
 */
public record HeldGrant(SlotRequestId id, BackendServerName server, Duration timeLeft) {}
