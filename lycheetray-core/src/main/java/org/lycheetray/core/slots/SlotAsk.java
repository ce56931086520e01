package org.lycheetray.core.slots;

import java.time.Duration;
import java.util.Set;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;

/**
 * A request for one slot.
 *
 * @param id identity; an ask that is repeated under the same identity gets the same grant
 * @param account client account that the request runs for
 * @param weight weight of the account in the fair queue, at least 1
 * @param timeLeft time until the request's deadline as the asker sent the ask
 * @param mode what to do while no slot is idle
 * @param avoid backend servers to use only when no other is idle, since an earlier attempt failed there
 */
public record SlotAsk(
        AskId id,
        ClientAccountName account,
        int weight,
        Duration timeLeft,
        AskMode mode,
        Set<BackendServerName> avoid) {
    /** Copies the set. */
    public SlotAsk {
        avoid = Set.copyOf(avoid);
    }
}
