package org.lycheetray.core.lookup.internal;

/**
 * A prefix and the index of its region.
 *
 * @param bits prefix bits, with all lower bits 0
 * @param length prefix length in bits
 * @param regionIndex index of the region
 */
public record Entry(long bits, int length, short regionIndex) implements Comparable<Entry> {
    @Override
    public int compareTo(Entry o) {
        int byBits = Long.compareUnsigned(bits, o.bits);
        return byBits != 0 ? byBits : Integer.compare(length, o.length);
    }

    boolean samePrefix(Entry o) {
        return bits == o.bits && length == o.length;
    }
}
