package org.lycheetray.core.registry;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;

/** Builds entries of backend servers. */
public final class ServerEntries {
    private final String name;
    private long incarnation = 1;
    private String dataCentre = "dc-a";
    private int slots = 3;
    private boolean draining;
    private Duration cold = Duration.ZERO;

    private ServerEntries(String name) {
        this.name = name;
    }

    /** An entry of a ready, warm server. */
    public static ServerEntries entry(String name) {
        return new ServerEntries(name);
    }

    /** Sets the life. */
    public ServerEntries incarnation(long n) {
        incarnation = n;
        return this;
    }

    /** Sets the data centre. */
    public ServerEntries in(String dc) {
        dataCentre = dc;
        return this;
    }

    /** Sets the slots. */
    public ServerEntries slots(int n) {
        slots = n;
        return this;
    }

    /** Makes it leave. */
    public ServerEntries draining() {
        draining = true;
        return this;
    }

    /** Makes it cold. */
    public ServerEntries cold(Duration d) {
        cold = d;
        return this;
    }

    /** The entry. */
    public RegisteredServer build() {
        return new RegisteredServer(
                new BackendServerName(name),
                incarnation,
                new ServiceName("svc"),
                new Endpoint("127.0.0.1", 8080),
                new DataCentreName(dataCentre),
                slots,
                draining,
                cold);
    }
}
