package org.lycheetray.core.slots;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Ranks names for a key so that each key has its own order, and the loss of a name moves only that name's keys.
 *
 * <p>Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 1998 (highest random weight).
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Ranks names.
     *
     * @param key the key
     * @param names names to rank
     * @param <T> type of the names; its text form is hashed
     * @return the names, best first
     */
    public static <T extends Comparable<T>> List<T> rank(String key, Collection<T> names) {
        return names.stream()
                .sorted(Comparator.<T>comparingLong(n -> -(score(key, n.toString()) >>> 1))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Gives the weight of a name for a key.
     *
     * @param key the key
     * @param name the name
     * @return a number that looks random and is the same on every VM
     */
    public static long score(String key, String name) {
        return score(seed(key), name);
    }

    /**
     * Gives the part of a weight that depends on the key alone, for keys that are compared with many names.
     *
     * @param key the key
     * @return the seed
     */
    public static long seed(String key) {
        return mix(hash(FNV_OFFSET, key) ^ FNV_PRIME);
    }

    /**
     * Gives the weight of a name for a key.
     *
     * @param seed the key's {@link #seed}
     * @param name the name
     * @return a number that looks random and is the same on every VM
     */
    public static long score(long seed, String name) {
        return mix(hash(seed, name));
    }

    private static long hash(long seed, String s) {
        long h = seed;
        for (int i = 0; i < s.length(); i++) {
            h = (h ^ s.charAt(i)) * FNV_PRIME;
        }
        return h;
    }

    /** Finaliser of SplitMix64. */
    private static long mix(long z) {
        long h = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}
