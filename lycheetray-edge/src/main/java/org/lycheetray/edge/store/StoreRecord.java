package org.lycheetray.edge.store;

import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.traffic.TrafficConfig;

/** One record as it was read or changed. */
public sealed interface StoreRecord {
    /**
     * A version of the desired state.
     *
     * @param config the configuration
     */
    record Config(TrafficConfig config) implements StoreRecord {}

    /**
     * A data centre is to be evacuated.
     *
     * @param dataCentre the data centre
     */
    record Evacuate(DataCentreName dataCentre) implements StoreRecord {}

    /**
     * A data centre may be used again.
     *
     * @param dataCentre the data centre
     */
    record Restore(DataCentreName dataCentre) implements StoreRecord {}

    /**
     * A backend server said something.
     *
     * @param server what it said
     */
    record Server(RegisteredServer server) implements StoreRecord {}

    /**
     * A backend server's entry is gone.
     *
     * @param name its name
     */
    record ServerGone(BackendServerName name) implements StoreRecord {}

    /**
     * A backend server's entry cannot be understood.
     *
     * @param name name of the entry
     * @param why what is wrong
     */
    record ServerUnreadable(BackendServerName name, String why) implements StoreRecord {}

    /**
     * A record that means nothing to the edge.
     *
     * @param key its key
     * @param why what is wrong with it, empty if it is merely of another kind
     */
    record Ignored(String key, String why) implements StoreRecord {}
}
