package org.lycheetray.core.lookup;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.regex.Pattern;

/**
 * A block of addresses of one family, by the first 64 bits of the address; an IPv4 address fills the upper 32.
 *
 * @param bits first bits of the addresses, the others 0
 * @param length number of bits that count, at most 64
 * @param ipv6 true for IPv6
 */
public record Prefix(long bits, int length, boolean ipv6) {
    private static final int IPV4_BITS = 32;
    private static final int MAX_LENGTH = 64;
    private static final Pattern IP_LITERAL = Pattern.compile("[0-9.]+|[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    /** Clears the bits that do not count. */
    public Prefix {
        int longest = ipv6 ? MAX_LENGTH : IPV4_BITS;
        if (length < 0 || length > longest) {
            throw new IllegalArgumentException("prefix length out of range 0 to " + longest + ": " + length);
        }
        bits &= mask(length);
    }

    /**
     * Gives the bit mask of a prefix length.
     *
     * @param length 0 to 64
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
     * @throws IllegalArgumentException if the text has another form, or an IPv6 length above 64
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
     * Gives the longest prefix of an address.
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
     * Tells whether another prefix lies within this one.
     *
     * @param o a prefix of the same family
     * @return true if it is equal or longer and starts alike
     */
    public boolean contains(Prefix o) {
        return length <= o.length && (o.bits & mask(length)) == bits;
    }

    /**
     * Gives the last 64 bits that lie within the prefix.
     *
     * @return the bits with all others set
     */
    public long last() {
        return bits | ~mask(length);
    }
}
