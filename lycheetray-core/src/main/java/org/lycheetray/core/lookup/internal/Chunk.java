package org.lycheetray.core.lookup.internal;

import java.util.List;
import org.lycheetray.core.lookup.Prefix;

/**
 * A sorted range of prefixes in primitive arrays; immutable.
 *
 * <p>Each prefix is stored with the length of the longest other prefix that encloses it, or {@link #NO_ENCLOSING}. The
 * longest match can therefore be found by binary search without a trie.
 */
final class Chunk {
    /** Enclosing length of a prefix that no other prefix encloses. */
    static final byte NO_ENCLOSING = -1;

    private final long[] bits;
    private final byte[] lengths;
    private final byte[] enclosingLengths;
    private final short[] regionIndexes;

    Chunk(List<Entry> entries, byte[] enclosing) {
        int n = entries.size();
        this.bits = new long[n];
        this.lengths = new byte[n];
        this.regionIndexes = new short[n];
        this.enclosingLengths = enclosing;
        for (int i = 0; i < n; i++) {
            Entry e = entries.get(i);
            bits[i] = e.bits();
            lengths[i] = (byte) e.length();
            regionIndexes[i] = e.regionIndex();
        }
    }

    int size() {
        return bits.length;
    }

    long firstBits() {
        return bits[0];
    }

    int firstLength() {
        return lengths[0];
    }

    Entry entry(int i) {
        return new Entry(bits[i], lengths[i], regionIndexes[i]);
    }

    byte enclosingLength(int i) {
        return enclosingLengths[i];
    }

    short regionIndex(int i) {
        return regionIndexes[i];
    }

    boolean contains(int i, long address) {
        return (address & Prefix.mask(lengths[i])) == bits[i];
    }

    /** Returns the position of the last prefix that is not greater than the given one, -1 if there is none. */
    int floor(long key, int length) {
        int low = 0;
        int high = bits.length - 1;
        while (low <= high) {
            int middle = (low + high) >>> 1;
            int order = Long.compareUnsigned(bits[middle], key);
            if (order < 0 || (order == 0 && lengths[middle] <= length)) {
                low = middle + 1;
            } else {
                high = middle - 1;
            }
        }
        return high;
    }
}
