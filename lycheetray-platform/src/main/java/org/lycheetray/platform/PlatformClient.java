package org.lycheetray.platform;

import org.lycheetray.platform.internal.HttpObjectStore;
import org.lycheetray.platform.internal.HttpTableService;
import org.lycheetray.platform.internal.HttpVmList;
import org.lycheetray.platform.internal.PlatformHttp;

/** Reaches the platform over HTTP; holds its connections until closed. */
public final class PlatformClient implements AutoCloseable {
    private final PlatformHttp http;
    private final TableService tables;
    private final ObjectStore objects;
    private final VmList vms;

    private PlatformClient(PlatformHttp http) {
        this.http = http;
        this.tables = new HttpTableService(http);
        this.objects = new HttpObjectStore(http);
        this.vms = new HttpVmList(http);
    }

    /**
     * Creates a client; connects at the first call.
     *
     * @param settings address and limits, read once
     * @return the client
     */
    public static PlatformClient create(PlatformSettings settings) {
        return new PlatformClient(new PlatformHttp(settings));
    }

    /**
     * Gives the table service.
     *
     * @return the service, usable by any thread
     */
    public TableService tables() {
        return tables;
    }

    /**
     * Gives the object store.
     *
     * @return the store, usable by any thread
     */
    public ObjectStore objects() {
        return objects;
    }

    /**
     * Gives the list of VMs.
     *
     * @return the list, usable by any thread
     */
    public VmList vms() {
        return vms;
    }

    @Override
    public void close() {
        http.close();
    }
}
