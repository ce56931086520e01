package org.lycheetray.core.slots;

import org.lycheetray.core.model.DataCentreName;

/** Action that the caller of a {@link SlotSearch} must perform. */
public sealed interface SearchEffect {
    /**
     * Request a slot from the owner in a data centre.
     *
     * @param dataCentre the data centre
     * @param mode how the owner handles the request when no slot is idle
     */
    record RequestSlot(DataCentreName dataCentre, SlotRequestMode mode) implements SearchEffect {}

    /**
     * Cancel the slot request to the owner in a data centre, or release its grant.
     *
     * @param dataCentre the data centre
     */
    record Withdraw(DataCentreName dataCentre) implements SearchEffect {}

    /**
     * Dispatch the request with a grant.
     *
     * @param dataCentre data centre of the owner
     * @param grant the grant
     */
    record Run(DataCentreName dataCentre, SlotDecision.Granted grant) implements SearchEffect {}

    /**
     * Fail the request as not run.
     *
     * @param reason reason given by the last owner that refused
     */
    record GiveUp(SlotRefusal reason) implements SearchEffect {}
}
