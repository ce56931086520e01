package org.lycheetray.core.slots;

import java.time.Duration;
import java.util.Set;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;

/**
 * A request for one slot.
 *
 * @param id identifier; a retry with the same identifier takes no second slot
 * @param account client account of the request
 * @param weight weight of the account in the fair queue, at least 1
 * @param timeLeft time until the request's deadline when the slot request was sent
 * @param mode how the owner handles the request when no slot is idle
 * @param avoid backend servers where an earlier attempt failed; used only if no other server has an idle slot
 */
public record SlotRequest(
        SlotRequestId id,
        ClientAccountName account,
        int weight,
        Duration timeLeft,
        SlotRequestMode mode,
        Set<BackendServerName> avoid) {
    /** Makes a defensive copy of the set. */
    public SlotRequest {
        avoid = Set.copyOf(avoid);
    }
}
