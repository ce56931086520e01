package org.lycheetray.core.lookup.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.List;
import java.util.TreeMap;
import org.lycheetray.core.lookup.Prefix;

/**
 * A longest-prefix-match table for one address family.
 *
 * <p>The sorted prefixes are stored in immutable chunks. A change replaces only the chunks that it affects, and readers
 * on any thread see the table either before or after the change. Only one thread may write.
 */
public final class PrefixTable {
    /** Region index that means that no prefix matches. */
    public static final short NO_REGION = -1;

    private static final int MAX_CHUNK_ENTRIES = 512;
    private static final int MAX_LENGTH = 64;

    private volatile Chunk[] chunks = new Chunk[0];

    /**
     * Replaces the entire content.
     *
     * @param entries entries in any order; the last of several equal prefixes is used
     */
    public void load(Collection<Entry> entries) {
        TreeMap<Entry, Entry> sorted = new TreeMap<>();
        entries.forEach(e -> sorted.put(e, e));
        chunks =
                packChunks(new ArrayList<>(sorted.values()), new ArrayDeque<>()).toArray(Chunk[]::new);
    }

    /**
     * Replaces the entire content with entries that are already sorted.
     *
     * @param sorted entries in ascending order, without equal prefixes
     */
    public void loadSorted(List<Entry> sorted) {
        chunks = packChunks(sorted, new ArrayDeque<>()).toArray(Chunk[]::new);
    }

    /**
     * Finds the region of the longest prefix that contains an address.
     *
     * @param address first 64 bits of the address
     * @return the region index, {@link #NO_REGION} if no prefix contains the address
     */
    public short find(long address) {
        Chunk[] all = chunks;
        long key = address;
        int length = MAX_LENGTH;
        while (true) {
            int c = chunkIndex(all, key, length);
            if (c < 0) {
                return NO_REGION;
            }
            int i = all[c].floor(key, length);
            if (all[c].contains(i, address)) {
                return all[c].regionIndex(i);
            }
            length = all[c].enclosingLength(i);
            if (length == Chunk.NO_ENCLOSING) {
                return NO_REGION;
            }
            key = all[c].entry(i).bits() & Prefix.mask(length);
        }
    }

    private static int chunkIndex(Chunk[] all, long key, int length) {
        int low = 0;
        int high = all.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = Long.compareUnsigned(all[middle].firstBits(), key);
            if (order < 0 || (order == 0 && all[middle].firstLength() <= length)) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return high;
    }

    /**
     * Adds, replaces or removes one prefix.
     *
     * @param entry the prefix and its region index; {@link #NO_REGION} removes the prefix
     */
    public void apply(Entry entry) {
        Chunk[] old = chunks;
        int first = Math.max(0, chunkIndex(old, entry.bits(), entry.length()));
        int last = Math.max(first, chunkIndex(old, entry.bits() | ~Prefix.mask(entry.length()), MAX_LENGTH));
        List<Entry> entries = new ArrayList<>();
        for (int c = first; c <= last && c < old.length; c++) {
            for (int i = 0; i < old[c].size(); i++) {
                entries.add(old[c].entry(i));
            }
        }
        replaceEntry(entries, entry);
        ArrayDeque<Entry> outer = old.length == 0 ? new ArrayDeque<>() : enclosingEntries(old, first);
        List<Chunk> fresh = packChunks(entries, outer);
        chunks = splice(old, first, last, fresh);
    }

    private static void replaceEntry(List<Entry> entries, Entry e) {
        int at = 0;
        while (at < entries.size() && entries.get(at).compareTo(e) < 0) {
            at++;
        }
        if (at < entries.size() && entries.get(at).samePrefix(e)) {
            entries.remove(at);
        }
        if (e.regionIndex() != NO_REGION) {
            entries.add(at, e);
        }
    }

    /** Returns the prefixes that enclose the first prefix of a chunk, the outermost first. */
    private static ArrayDeque<Entry> enclosingEntries(Chunk[] all, int chunk) {
        ArrayDeque<Entry> outer = new ArrayDeque<>();
        Entry at = all[chunk].entry(0);
        byte length = all[chunk].enclosingLength(0);
        while (length != Chunk.NO_ENCLOSING) {
            long key = at.bits() & Prefix.mask(length);
            Chunk c = all[chunkIndex(all, key, length)];
            int i = c.floor(key, length);
            at = c.entry(i);
            outer.addFirst(at);
            length = c.enclosingLength(i);
        }
        return outer;
    }

    private static Chunk[] splice(Chunk[] old, int first, int last, List<Chunk> fresh) {
        List<Chunk> next = new ArrayList<>(old.length + fresh.size());
        next.addAll(Arrays.asList(old).subList(0, Math.min(first, old.length)));
        next.addAll(fresh);
        next.addAll(Arrays.asList(old).subList(Math.min(last + 1, old.length), old.length));
        return next.toArray(Chunk[]::new);
    }

    private static List<Chunk> packChunks(List<Entry> sorted, ArrayDeque<Entry> outer) {
        int count = Math.ceilDiv(sorted.size(), MAX_CHUNK_ENTRIES);
        List<Chunk> packed = new ArrayList<>(count);
        for (int c = 0; c < count; c++) {
            int from = (int) ((long) sorted.size() * c / count);
            int to = (int) ((long) sorted.size() * (c + 1) / count);
            packed.add(packChunk(sorted.subList(from, to), outer));
        }
        return packed;
    }

    private static Chunk packChunk(List<Entry> entries, ArrayDeque<Entry> outer) {
        byte[] enclosing = new byte[entries.size()];
        for (int i = 0; i < entries.size(); i++) {
            Entry e = entries.get(i);
            while (!outer.isEmpty() && !encloses(outer.peekLast(), e)) {
                outer.removeLast();
            }
            enclosing[i] = outer.isEmpty()
                    ? Chunk.NO_ENCLOSING
                    : (byte) outer.peekLast().length();
            outer.addLast(e);
        }
        return new Chunk(entries, enclosing);
    }

    private static boolean encloses(Entry outer, Entry inner) {
        return outer.length() < inner.length() && (inner.bits() & Prefix.mask(outer.length())) == outer.bits();
    }

    /**
     * Returns the number of prefixes.
     *
     * @return number of prefixes
     */
    public int size() {
        int n = 0;
        for (Chunk c : chunks) {
            n += c.size();
        }
        return n;
    }
}
