package org.lycheetray.edge.store;

import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.traffic.TrafficConfig;

/** A record or a change of a record in the store. */
public sealed interface StoreRecord {
    /**
     * A version of the configuration.
     *
     * @param config the configuration
     */
    record Config(TrafficConfig config) implements StoreRecord {}

    /**
     * Instruction to route no new requests to a data centre.
     *
     * @param dataCentre the data centre
     */
    record EvacuateDataCentre(DataCentreName dataCentre) implements StoreRecord {}

    /**
     * Instruction to use a data centre again after an evacuation.
     *
     * @param dataCentre the data centre
     */
    record RestoreDataCentre(DataCentreName dataCentre) implements StoreRecord {}

    /**
     * A backend server registered itself or updated its entry.
     *
     * @param server the registered server
     */
    record Server(RegisteredServer server) implements StoreRecord {}

    /**
     * A backend server's entry was removed.
     *
     * @param name name of the server
     */
    record ServerGone(BackendServerName name) implements StoreRecord {}

    /**
     * A backend server's entry is invalid.
     *
     * @param name name of the entry
     * @param reason reason why it is invalid
     */
    record ServerUnreadable(BackendServerName name, String reason) implements StoreRecord {}

    /**
     * A record that is not used.
     *
     * @param key key of the record
     * @param reason reason why it is invalid, or an empty string if it is of a kind that is not used
     */
    record Ignored(String key, String reason) implements StoreRecord {}
}
