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
 * Tracks which backend servers exist, based on their entries in the store.
 *
 * <p>Entries may expire during an outage of the store although their servers are running. The removal of an entry
 * shortly after such an outage therefore takes effect only when the time for entries to reappear has passed, see
 * {@link StoreOutageTracker}. A removal together with many others is deferred by a shorter time, since this VM may not
 * have noticed an outage. Draining servers and all other removed servers are removed at once.
 *
 * <p>A store that was restored from an older copy lists earlier entries of running servers, and entries of servers that
 * have left. Both are recognized by their incarnation and sequence and ignored. Not thread-safe.
 */
public final class ServerRegistry {
    /**
     * Divisor of the number of servers: if at least this part of them is removed in one update, a store failure is
     * assumed rather than a shutdown of so many servers.
     */
    private static final int MASS_REMOVAL_DIVISOR = 4;

    /** Minimum number of removals in one update that counts as a mass removal. */
    private static final int MIN_MASS_REMOVAL = 4;

    /**
     * Time for entries to reappear that were removed together without a known outage. Shorter than the time for which a
     * server that leaves still accepts requests, less the delay until its removal is read.
     */
    private static final Duration MASS_REMOVAL_GRACE_PERIOD = Duration.ofMillis(1_400);

    /** Time for which a removed server is remembered; longer than a restored copy of the store is old. */
    private static final Duration DEPARTED_REMEMBERED = Duration.ofMinutes(1);

    private final Map<BackendServerName, RegisteredServer> servers = new HashMap<>();
    private final Map<BackendServerName, Departed> departed = new HashMap<>();
    private final Map<BackendServerName, MonotonicTime> pendingRemovals = new HashMap<>();

    /** The last entry of a removed server, and the time of its removal. */
    private record Departed(RegisteredServer last, MonotonicTime removedAt) {}

    /**
     * Servers whose entries were removed in one update.
     *
     * @param removed names of the servers that were removed at once
     * @param deferred names of the servers that are kept until their entries can no longer reappear
     */
    public record Removals(List<BackendServerName> removed, List<BackendServerName> deferred) {
        /** Copies the lists. */
        public Removals {
            removed = List.copyOf(removed);
            deferred = List.copyOf(deferred);
        }
    }

    /**
     * Applies a complete listing of the entries.
     *
     * @param entries all readable entries
     * @param reappearanceDeadline time until which entries that expired in an outage of the store may reappear, or empty
     *     if there was no recent outage
     * @param now current time
     * @return the servers that are missing from the listing
     */
    public Removals replaceAll(
            Collection<RegisteredServer> entries, Optional<MonotonicTime> reappearanceDeadline, MonotonicTime now) {
        Set<BackendServerName> missing = new HashSet<>(servers.keySet());
        entries.forEach(e -> {
            put(e);
            missing.remove(e.name());
        });
        return removeAll(missing, reappearanceDeadline, now);
    }

    /**
     * Removes the entries of removed servers from a listing of a store that was restored from an older copy.
     *
     * @param entries all readable entries
     * @return the entries that are newer than what is known of removed servers
     */
    public List<RegisteredServer> withoutDeparted(Collection<RegisteredServer> entries) {
        return entries.stream()
                .filter(e -> {
                    Departed d = departed.get(e.name());
                    return d == null || isOlder(d.last(), e);
                })
                .toList();
    }

    /** Returns whether an entry was published before another one of the same server. */
    private static boolean isOlder(RegisteredServer entry, RegisteredServer other) {
        return entry.incarnation() < other.incarnation()
                || (entry.incarnation() == other.incarnation() && entry.sequence() < other.sequence());
    }

    /**
     * Applies one entry, unless a later entry of the server is known.
     *
     * @param entry the entry
     * @return true if the entry was stored, false if it was ignored
     */
    public boolean put(RegisteredServer entry) {
        RegisteredServer known = servers.get(entry.name());
        if (known != null && isOlder(entry, known)) {
            return false;
        }
        servers.put(entry.name(), entry);
        departed.remove(entry.name());
        pendingRemovals.remove(entry.name());
        return true;
    }

    /**
     * Applies the removal of entries that were reported in one update.
     *
     * @param names names of the removed entries
     * @param reappearanceDeadline time until which entries that expired in an outage of the store may reappear, or empty
     *     if there was no recent outage
     * @param now current time
     * @return the servers among them that were known
     */
    public Removals removeAll(
            Collection<BackendServerName> names, Optional<MonotonicTime> reappearanceDeadline, MonotonicTime now) {
        List<BackendServerName> known =
                names.stream().filter(servers::containsKey).toList();
        boolean massRemoval = known.size() >= MIN_MASS_REMOVAL && known.size() * MASS_REMOVAL_DIVISOR >= servers.size();
        Optional<MonotonicTime> deadline = massRemoval && reappearanceDeadline.isEmpty()
                ? Optional.of(now.plus(MASS_REMOVAL_GRACE_PERIOD))
                : reappearanceDeadline;
        List<BackendServerName> removed = new ArrayList<>();
        List<BackendServerName> deferred = new ArrayList<>();
        for (BackendServerName name : known) {
            if (deadline.isPresent() && !servers.get(name).draining()) {
                pendingRemovals.putIfAbsent(name, deadline.get());
                deferred.add(name);
            } else {
                depart(name, now);
                removed.add(name);
            }
        }
        return new Removals(removed, deferred);
    }

    private void depart(BackendServerName name, MonotonicTime now) {
        departed.put(name, new Departed(servers.get(name), now));
        remove(name);
    }

    /**
     * Removes a server at once, for example because its entry is unreadable.
     *
     * @param name name of the server
     */
    public void remove(BackendServerName name) {
        servers.remove(name);
        pendingRemovals.remove(name);
    }

    /**
     * Removes the servers whose expired entries did not reappear in time.
     *
     * @param now current time
     * @return names of the removed servers
     */
    public List<BackendServerName> removeExpired(MonotonicTime now) {
        List<BackendServerName> due = pendingRemovals.entrySet().stream()
                .filter(e -> !now.isBefore(e.getValue()))
                .map(Map.Entry::getKey)
                .toList();
        due.forEach(n -> depart(n, now));
        departed.values().removeIf(d -> now.since(d.removedAt()).compareTo(DEPARTED_REMEMBERED) > 0);
        return due;
    }

    /**
     * Returns all existing servers, including draining ones.
     *
     * @return a copy of the list
     */
    public List<RegisteredServer> servers() {
        return List.copyOf(servers.values());
    }

    /**
     * Returns the latest entry of a server.
     *
     * @param name name of the server
     * @return the entry, or empty if the server does not exist
     */
    public Optional<RegisteredServer> find(BackendServerName name) {
        return Optional.ofNullable(servers.get(name));
    }
}
