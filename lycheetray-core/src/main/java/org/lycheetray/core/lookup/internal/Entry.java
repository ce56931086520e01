package org.lycheetray.core.lookup.internal;

/**
 * A prefix with its site, before it is packed.
 *
 * @param bits first bits
 * @param length number of bits that count
 * @param regionIndex number of the site
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
