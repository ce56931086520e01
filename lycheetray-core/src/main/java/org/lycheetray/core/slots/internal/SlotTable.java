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

/** Exact use of each backend server's slots. */
public final class SlotTable {
    private final Map<BackendServerName, Entry> entries = new TreeMap<>();

    private static final class Entry {
        private BackendServer server;
        private int slots;
        private int inUse;
        private final Set<VmName> connected = new HashSet<>();

        double use() {
            return (double) inUse / slots;
        }
    }

    /**
     * Sets which servers can be used; use of the others goes on being counted.
     *
     * @param servers the servers
     */
    public void use(Collection<UsableServer> servers) {
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
     * Gives the slots that can be used.
     *
     * @return the sum over all usable servers
     */
    public int slots() {
        return entries.values().stream().mapToInt(e -> e.slots).sum();
    }

    /**
     * Gives the slots that can be used and are not in use.
     *
     * @return the sum over all usable servers
     */
    public int idle() {
        return entries.values().stream()
                .mapToInt(e -> Math.max(0, e.slots - e.inUse))
                .sum();
    }

    /**
     * Gives the slots of one server that are in use.
     *
     * @param name the server
     * @return the number
     */
    public int inUse(BackendServerName name) {
        Entry e = entries.get(name);
        return e == null ? 0 : e.inUse;
    }

    /**
     * Counts a slot that a predecessor granted.
     *
     * @param name the server
     */
    public void take(BackendServerName name) {
        entry(name).inUse++;
    }

    /**
     * Takes a slot of the server that suits a holder best: none to avoid, the least used, and one that the holder has
     * used before, since a new connection costs time.
     *
     * @param holder the VM
     * @param avoid servers to use only when no other is idle
     * @return the server
     * @throws java.util.NoSuchElementException if no slot is idle
     */
    public BackendServer takeBest(VmName holder, Set<BackendServerName> avoid) {
        Entry best = entries.values().stream()
                .filter(e -> e.inUse < e.slots)
                .min(Comparator.<Entry, Boolean>comparing(e -> avoid.contains(e.server.name()))
                        .thenComparingDouble(Entry::use)
                        .thenComparing(e -> !e.connected.contains(holder)))
                .orElseThrow();
        best.inUse++;
        best.connected.add(holder);
        return best.server;
    }

    /**
     * Counts a slot as idle again.
     *
     * @param name the server
     */
    public void giveBack(BackendServerName name) {
        Entry e = entries.get(name);
        e.inUse--;
        if (e.slots == 0 && e.inUse == 0) {
            entries.remove(name);
        }
    }
}
