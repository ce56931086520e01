package org.lycheetray.core.lookup;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * An address prefix of one address family, represented by the first 64 bits of its addresses. An IPv4 address occupies
 * the upper 32 bits.
 *
 * @param bits prefix bits, with all lower bits 0
 * @param length prefix length in bits, at most 32 for IPv4 and 64 for IPv6
 * @param ipv6 true for IPv6
 */
public record Prefix(long bits, int length, boolean ipv6) {
    private static final int IPV4_BITS = 32;
    private static final int MAX_LENGTH = 64;
    private static final Pattern IP_LITERAL = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    /** Clears the bits beyond the prefix length. */
    public Prefix {
        int maxLength = ipv6 ? MAX_LENGTH : IPV4_BITS;
        if (length < 0 || length > maxLength) {
            throw new IllegalArgumentException("prefix length out of range 0 to " + maxLength + ": " + length);
        }
        bits &= mask(length);
    }

    /**
     * Returns the bit mask of a prefix length.
     *
     * @param length prefix length, 0 to 64
     * @return a mask with that many leading ones
     */
    public static long mask(int length) {
        return length == 0 ? 0 : -1L << (MAX_LENGTH - length);
    }

    /**
     * Parses CIDR notation.
     *
     * @param cidr for example {@code 192.0.2.0/24} or {@code 2001:db8::/32}
     * @return the prefix
     * @throws IllegalArgumentException if the text is malformed or the prefix length is out of range
     */
    public static Prefix parse(String cidr) {
        int slash = cidr.indexOf('/');
        if (slash < 0) {
            throw new IllegalArgumentException("expected ADDRESS/LENGTH but was " + cidr);
        }
        try {
            Prefix address = ofAddress(address(cidr.substring(0, slash)));
            int length = Integer.parseInt(cidr.substring(slash + 1));
            return new Prefix(address.bits, length, address.ipv6);
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("expected ADDRESS/LENGTH but was " + cidr, e);
        }
    }

    private static InetAddress address(String text) {
        if (!IP_LITERAL.matcher(text).matches()) {
            throw new IllegalArgumentException("not an IP number: " + text);
        }
        try {
            return InetAddress.getByName(text);
        } catch (UnknownHostException e) {
            throw new IllegalArgumentException("not an IP number: " + text, e);
        }
    }

    /**
     * Returns the longest supported prefix of an address.
     *
     * @param address the address
     * @return its first 64 bits, or all 32 of an IPv4 address
     */
    public static Prefix ofAddress(InetAddress address) {
        ByteBuffer b = ByteBuffer.wrap(address.getAddress());
        return b.remaining() == Integer.BYTES
                ? new Prefix((long) b.getInt() << IPV4_BITS, IPV4_BITS, false)
                : new Prefix(b.getLong(), MAX_LENGTH, true);
    }

    /**
     * Returns whether this prefix contains another one.
     *
     * @param o a prefix of the same address family
     * @return true if it is equal or lies within this prefix
     */
    public boolean contains(Prefix o) {
        return length <= o.length && (o.bits & mask(length)) == bits;
    }

    /**
     * Returns the highest address within the prefix.
     *
     * @return the prefix bits with all lower bits set
     */
    public long last() {
        return bits | ~mask(length);
    }
}
