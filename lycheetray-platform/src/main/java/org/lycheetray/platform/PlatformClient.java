package org.lycheetray.platform;

import org.lycheetray.platform.internal.HttpObjectStore;
import org.lycheetray.platform.internal.HttpTableService;
import org.lycheetray.platform.internal.HttpVmList;
import org.lycheetray.platform.internal.PlatformHttpClient;

/** Client for the platform's services over HTTP. Owns a connection pool, which {@link #close} releases. */
public final class PlatformClient implements AutoCloseable {
    private final PlatformHttpClient http;
    private final TableService tables;
    private final ObjectStore objects;
    private final VmList vms;

    private PlatformClient(PlatformHttpClient http) {
        this.http = http;
        this.tables = new HttpTableService(http);
        this.objects = new HttpObjectStore(http);
        this.vms = new HttpVmList(http);
    }

    /**
     * Creates a client, which connects on the first call.
     *
     * @param settings address and limits, read once at creation
     * @return the client
     */
    public static PlatformClient create(PlatformSettings settings) {
        return new PlatformClient(new PlatformHttpClient(settings));
    }

    /**
     * Returns the table service.
     *
     * @return the service, safe for use by several threads
     */
    public TableService tables() {
        return tables;
    }

    /**
     * Returns the object store.
     *
     * @return the store, safe for use by several threads
     */
    public ObjectStore objects() {
        return objects;
    }

    /**
     * Returns the list of VMs.
     *
     * @return the list, safe for use by several threads
     */
    public VmList vms() {
        return vms;
    }

    @Override
    public void close() {
        http.close();
    }
}
