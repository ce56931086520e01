package org.lycheetray.core.registry;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;

/** Builds registry entries of backend servers. */
public final class ServerBuilder {
    private final String name;
    private long incarnation = 1;
    private long sequence = 1;
    private String dataCentre = "dc-a";
    private int slots = 3;
    private boolean draining;
    private Duration cold = Duration.ZERO;

    private ServerBuilder(String name) {
        this.name = name;
    }

    /** Creates a builder for the entry of a warm server that is not draining. */
    public static ServerBuilder entry(String name) {
        return new ServerBuilder(name);
    }

    /** Sets the incarnation. */
    public ServerBuilder incarnation(long n) {
        incarnation = n;
        return this;
    }

    /** Sets the position among the entries of the incarnation. */
    public ServerBuilder sequence(long n) {
        sequence = n;
        return this;
    }

    /** Sets the data centre. */
    public ServerBuilder in(String dc) {
        dataCentre = dc;
        return this;
    }

    /** Sets the number of slots. */
    public ServerBuilder slots(int n) {
        slots = n;
        return this;
    }

    /** Marks the server as draining. */
    public ServerBuilder draining() {
        draining = true;
        return this;
    }

    /** Sets the remaining time for which the server is cold. */
    public ServerBuilder cold(Duration d) {
        cold = d;
        return this;
    }

    /** Creates the entry. */
    public RegisteredServer build() {
        return new RegisteredServer(
                new BackendServerName(name),
                incarnation,
                sequence,
                new ServiceName("svc"),
                new Endpoint("127.0.0.1", 8080),
                new DataCentreName(dataCentre),
                slots,
                draining,
                cold);
    }
}
