package org.lycheetray.core.lookup.internal;

import java.util.List;
import org.lycheetray.core.lookup.Prefix;

/**
 * A run of sorted prefixes in primitive arrays; immutable once published.
 *
 * <p>With each prefix stands the length of the shortest step outwards: that of the next prefix that encloses it, or
 * {@link #NO_ENCLOSING}. So the longest match needs no structure besides the sorted order.
 */
final class Chunk {
    /** Length that stands for no enclosing prefix. */
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

    /** Position of the last prefix that is not above the given one, -1 if all are. */
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
