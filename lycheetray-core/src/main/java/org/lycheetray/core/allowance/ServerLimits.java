package org.lycheetray.core.allowance;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The rates of requests to which backend servers have limited the fleet, from the latest known answer of each server.
 * Not thread-safe.
 */
public final class ServerLimits {
    private final Map<BackendServerName, Entry> entries = new HashMap<>();

    /** The latest known statement of one incarnation of a server; without a rate the limit has ended. */
    private record Entry(long incarnation, OptionalDouble perSecond, MonotonicTime statedAt) {}

    /**
     * A change of a server's limit.
     *
     * @param before limit before the change in requests per second; empty if there was none
     * @param after limit from now on in requests per second; empty if there is none
     * @param age age of the answer that stated it
     */
    public record Change(OptionalDouble before, OptionalDouble after, Duration age) {}

    /**
     * Applies the limit, or the absence of one, in an answer that this VM has received.
     *
     * @param server the server that answered
     * @param perSecond the limit in requests per second, or empty if the answer states none
     * @param now current time
     * @return the change; empty if the limit is as it was
     */
    public Optional<Change> recordAnswer(RegisteredServer server, OptionalDouble perSecond, MonotonicTime now) {
        Entry known = entries.get(server.name());
        boolean sameIncarnation = known != null && known.incarnation() == server.incarnation();
        OptionalDouble before = sameIncarnation ? known.perSecond() : OptionalDouble.empty();
        if (sameIncarnation || perSecond.isPresent()) {
            entries.put(server.name(), new Entry(server.incarnation(), perSecond, now));
        }
        return before.equals(perSecond) ? Optional.empty() : Optional.of(new Change(before, perSecond, Duration.ZERO));
    }

    /**
     * Returns the limit of a server.
     *
     * @param server the server
     * @return requests per second from all VMs together, or empty if the server is not limited
     */
    public OptionalDouble limit(RegisteredServer server) {
        Entry e = entries.get(server.name());
        return e != null && e.incarnation() == server.incarnation() ? e.perSecond() : OptionalDouble.empty();
    }

    /**
     * Removes the limits of servers that no longer exist.
     *
     * @param present names of the registered servers
     */
    public void retainServers(Collection<BackendServerName> present) {
        entries.keySet().retainAll(present);
    }

    /**
     * Returns the number of servers that are limited.
     *
     * @return number of servers
     */
    public int limitedServerCount() {
        return (int)
                entries.values().stream().filter(e -> e.perSecond().isPresent()).count();
    }
}
