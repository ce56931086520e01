package org.lycheetray.core.slots.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.VmName;

/** Counts the slots in use per backend server. */
public final class SlotTable {
    private final Map<BackendServerName, Entry> entries = new TreeMap<>();

    private static final class Entry {
        private BackendServer server;
        private int slots;
        private int inUse;
        private final Set<VmName> previousHolders = new HashSet<>();

        double utilization() {
            return (double) inUse / slots;
        }
    }

    /**
     * Sets the usable servers. Slots in use on other servers remain counted.
     *
     * @param servers the usable servers
     */
    public void updateServers(Collection<UsableServer> servers) {
        entries.values().forEach(e -> e.slots = 0);
        for (UsableServer u : servers) {
            Entry e = entry(u.server().name());
            e.server = u.server();
            e.slots = u.slots();
        }
        entries.values().removeIf(e -> e.slots == 0 && e.inUse == 0);
    }

    private Entry entry(BackendServerName name) {
        return entries.computeIfAbsent(name, n -> new Entry());
    }

    /**
     * Returns the number of usable slots.
     *
     * @return the sum over all usable servers
     */
    public int slots() {
        return entries.values().stream().mapToInt(e -> e.slots).sum();
    }

    /**
     * Returns the number of idle slots.
     *
     * @return the sum over all usable servers
     */
    public int idle() {
        return entries.values().stream()
                .mapToInt(e -> Math.max(0, e.slots - e.inUse))
                .sum();
    }

    /**
     * Returns the number of slots in use on one server.
     *
     * @param name the server
     * @return the number of slots
     */
    public int inUse(BackendServerName name) {
        Entry e = entries.get(name);
        return e == null ? 0 : e.inUse;
    }

    /**
     * Counts a slot granted by a previous owner as in use.
     *
     * @param name the server
     */
    public void markInUse(BackendServerName name) {
        entry(name).inUse++;
    }

    /**
     * Acquires a slot on the preferred server: one not to be avoided, then the least utilized, then one that the holder
     * has used before, which saves a new connection.
     *
     * @param holder the VM
     * @param avoid servers to use only if no other has an idle slot
     * @return the server
     * @throws java.util.NoSuchElementException if no slot is idle
     */
    public BackendServer acquire(VmName holder, Set<BackendServerName> avoid) {
        Entry best = entries.values().stream()
                .filter(e -> e.inUse < e.slots)
                .min(Comparator.<Entry, Boolean>comparing(e -> avoid.contains(e.server.name()))
                        .thenComparingDouble(Entry::utilization)
                        .thenComparing(e -> !e.previousHolders.contains(holder)))
                .orElseThrow();
        best.inUse++;
        best.previousHolders.add(holder);
        return best.server;
    }

    /**
     * Releases a slot.
     *
     * @param name the server
     */
    public void release(BackendServerName name) {
        Entry e = entries.get(name);
        e.inUse--;
        if (e.slots == 0 && e.inUse == 0) {
            entries.remove(name);
        }
    }
}
