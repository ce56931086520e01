package org.lycheetray.core.registry;

import java.time.Duration;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;

/**
 * The registry entry of a backend server, as last published by the server.
 *
 * @param name name of the server, which it keeps when it restarts
 * @param incarnation start time of the server process in milliseconds since the Unix epoch; increases with each restart
 * @param sequence position of the entry among those that the server has published since its start; increases
 * @param service service that the server runs
 * @param endpoint HTTP address of the server
 * @param dataCentre data centre of the server
 * @param slots maximum number of requests processed concurrently, at least 1
 * @param draining true if the server is draining and receives no new requests
 * @param coldRemaining remaining time for which the server is cold, from the publication of the entry
 */
public record RegisteredServer(
        BackendServerName name,
        long incarnation,
        long sequence,
        ServiceName service,
        Endpoint endpoint,
        DataCentreName dataCentre,
        int slots,
        boolean draining,
        Duration coldRemaining) {
    /** Largest number of slots that an entry may state. */
    public static final int MAX_SLOTS = 100_000;

    /** Longest time for which an entry may state that the server is cold. */
    public static final Duration MAX_COLD = Duration.ofDays(1);

    /** Checks the numbers, so that an entry of another writer cannot overflow the times and sums computed from them. */
    public RegisteredServer {
        if (slots < 1 || slots > MAX_SLOTS) {
            throw new IllegalArgumentException("slots: out of range 1 to " + MAX_SLOTS + ": " + slots);
        }
        if (coldRemaining.isNegative() || coldRemaining.compareTo(MAX_COLD) > 0) {
            throw new IllegalArgumentException("cold time: out of range 0 to " + MAX_COLD + ": " + coldRemaining);
        }
    }
}
