package org.lycheetray.core.slots;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;

/**
 * A grant that is still in use, as its holder reports it to a new owner.
 *
 * @param id the ask that it answered
 * @param server the backend server
 * @param timeLeft time until it lapses
 */
public record HeldGrant(AskId id, BackendServerName server, Duration timeLeft) {}
