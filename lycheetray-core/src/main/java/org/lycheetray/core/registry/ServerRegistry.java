package org.lycheetray.core.registry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Keeps the backend servers that exist, from entries that come, change, lapse and return.
 *
 * <p>Entries may lapse while the store that holds them is away, although their servers live. A removal that is learnt in
 * the shadow of such an outage, or together with many others, takes effect only after {@link #RETURN_GRACE}; any other
 * takes effect at once. For one thread.
 */
public final class ServerRegistry {
    /**
     * Time that a lapsed entry has to come back. Source: entries of living servers are back within about two seconds of
     * the store's return.
     */
    public static final Duration RETURN_GRACE = Duration.ofMillis(2_200);

    /** Removals in one reading from which a common cause is likelier than so many departures: a quarter of all. */
    private static final int MASS_SHARE = 4;

    private static final int MASS_AT_LEAST = 4;

    private final Map<BackendServerName, RegisteredServer> servers = new HashMap<>();
    private final Map<BackendServerName, MonotonicTime> lapsing = new HashMap<>();

    /**
     * Takes a complete reading of the entries.
     *
     * @param entries all readable entries
     * @param doubtful true if the store was disturbed shortly before
     * @param now present time
     * @return names of servers that were dropped at once
     */
    public List<BackendServerName> replaceAll(
            Collection<RegisteredServer> entries, boolean doubtful, MonotonicTime now) {
        Set<BackendServerName> missing = new HashSet<>(servers.keySet());
        entries.forEach(e -> {
            put(e);
            missing.remove(e.name());
        });
        return removeAll(missing, doubtful, now);
    }

    /**
     * Takes one entry; an entry of an earlier life than the known one is ignored.
     *
     * @param entry the entry
     * @return true if it is now the known one
     */
    public boolean put(RegisteredServer entry) {
        RegisteredServer known = servers.get(entry.name());
        if (known != null && known.incarnation() > entry.incarnation()) {
            return false;
        }
        servers.put(entry.name(), entry);
        lapsing.remove(entry.name());
        return true;
    }

    /**
     * Takes the removal of entries that were read together.
     *
     * @param names names of the entries
     * @param doubtful true if the store was disturbed shortly before
     * @param now present time
     * @return names of servers that were dropped at once
     */
    public List<BackendServerName> removeAll(Collection<BackendServerName> names, boolean doubtful, MonotonicTime now) {
        List<BackendServerName> known =
                names.stream().filter(servers::containsKey).toList();
        boolean many = known.size() >= MASS_AT_LEAST && known.size() * MASS_SHARE >= servers.size();
        List<BackendServerName> dropped = new ArrayList<>();
        for (BackendServerName name : known) {
            if ((doubtful || many) && !servers.get(name).draining()) {
                lapsing.putIfAbsent(name, now.plus(RETURN_GRACE));
            } else {
                drop(name);
                dropped.add(name);
            }
        }
        return dropped;
    }

    /**
     * Drops an entry whose content names no server.
     *
     * @param name name of the entry
     */
    public void drop(BackendServerName name) {
        servers.remove(name);
        lapsing.remove(name);
    }

    /**
     * Drops the servers whose lapsed entries did not come back in time.
     *
     * @param now present time
     * @return their names
     */
    public List<BackendServerName> expire(MonotonicTime now) {
        List<BackendServerName> due = lapsing.entrySet().stream()
                .filter(e -> !now.isBefore(e.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(this::drop);
        return due;
    }

    /**
     * The servers that exist, leaving ones included.
     *
     * @return a copy
     */
    public List<RegisteredServer> servers() {
        return List.copyOf(servers.values());
    }

    /**
     * Finds a server.
     *
     * @param name its name
     * @return what it last said, or empty if it does not exist
     */
    public Optional<RegisteredServer> find(BackendServerName name) {
        return Optional.ofNullable(servers.get(name));
    }
}
