package org.lycheetray.core.slots;

import org.lycheetray.core.model.BackendServer;

/** Divides a backend server's connection limit among the entry VMs. */
public final class ConnectionShare {
    private ConnectionShare() {}

    /**
     * Returns the number of connections that one VM may open to a backend server.
     *
     * <p>The shares of all declared VMs add up to the limit, so the VMs need no coordination.
     *
     * @param server the backend server
     * @param position zero-based position of the VM among the declared VMs
     * @param vms number of declared VMs
     * @return the number of connections; 0 for some VMs if there are more VMs than connections
     */
    public static int of(BackendServer server, int position, int vms) {
        int even = server.connections() / vms;
        return position < server.connections() % vms ? even + 1 : even;
    }
}
