package org.lycheetray.core.slots;

import org.lycheetray.core.model.DataCentreName;

/** What the search for a slot asks its surroundings to do. */
public sealed interface SearchEffect {
    /**
     * Ask the owner of a data centre.
     *
     * @param dataCentre the data centre
     * @param mode what the owner does while no slot is idle
     */
    record Ask(DataCentreName dataCentre, AskMode mode) implements SearchEffect {}

    /**
     * Give back what a data centre's owner granted or would grant.
     *
     * @param dataCentre the data centre
     */
    record Withdraw(DataCentreName dataCentre) implements SearchEffect {}

    /**
     * Run the request with this grant.
     *
     * @param dataCentre where it was granted
     * @param grant the grant
     */
    record Run(DataCentreName dataCentre, SlotEffect.Granted grant) implements SearchEffect {}

    /**
     * Refuse the request as not run.
     *
     * @param reason why the last owner refused
     */
    record GiveUp(SlotRefusal reason) implements SearchEffect {}
}
