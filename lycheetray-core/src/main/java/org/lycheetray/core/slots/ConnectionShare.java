package org.lycheetray.core.slots;

import org.lycheetray.core.model.BackendServer;

/** Splits a backend server's connection limit over the entry VMs. */
public final class ConnectionShare {
    private ConnectionShare() {}

    /**
     * Gives the connections that one VM may hold to a backend server.
     *
     * <p>The shares of all declared VMs add up to at most the limit, without any agreement between them.
     *
     * @param server the backend server
     * @param position position of the VM among the declared ones, from 0
     * @param vms number of declared VMs
     * @return the share; 0 for some VMs if there are more VMs than connections
     */
    public static int of(BackendServer server, int position, int vms) {
        int even = server.connections() / vms;
        return position < server.connections() % vms ? even + 1 : even;
    }
}
