package org.lycheetray.core.slots;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Rendezvous (highest random weight) hashing: removing a name remaps only the keys that ranked this name first.
 *
 * <p>Source: D. Thaler and C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on
 * Networking 1998.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Returns the names in descending order of their weight for a key.
     *
     * @param key the key
     * @param names names to rank
     * @param <T> type of the names; its text form is hashed
     * @return the names, highest weight first
     */
    public static <T extends Comparable<T>> List<T> rank(String key, Collection<T> names) {
        return names.stream()
                .sorted(Comparator.<T>comparingLong(n -> -(score(key, n.toString()) >>> 1))
                        .thenComparing(Comparator.naturalOrder()))
                .toList();
    }

    /**
     * Returns the weight of a name for a key.
     *
     * @param key the key
     * @param name the name
     * @return a pseudorandom number that is equal on all VMs
     */
    public static long score(String key, String name) {
        return score(seed(key), name);
    }

    /**
     * Returns the part of the weight that depends only on the key, to compute it once for many names.
     *
     * @param key the key
     * @return the seed
     */
    public static long seed(String key) {
        return mix(hash(FNV_OFFSET, key) ^ FNV_PRIME);
    }

    /**
     * Returns the weight of a name for a key.
     *
     * @param seed the key's {@link #seed}
     * @param name the name
     * @return a pseudorandom number that is equal on all VMs
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

    /** Applies the SplitMix64 finalizer. */
    private static long mix(long z) {
        long h = (z ^ (z >>> 30)) * 0xbf58476d1ce4e5b9L;
        h = (h ^ (h >>> 27)) * 0x94d049bb133111ebL;
        return h ^ (h >>> 31);
    }
}
