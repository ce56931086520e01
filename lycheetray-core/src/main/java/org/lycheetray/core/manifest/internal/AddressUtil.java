package org.lycheetray.core.manifest.internal;

import java.math.BigInteger;
import java.net.InetAddress;
import java.util.regex.Pattern;

/** Validates IP addresses and CIDR blocks without DNS look-ups. */
final class AddressUtil {
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    private AddressUtil() {}

    static boolean isIpAddress(String text) {
        if (!IPV4.matcher(text).matches() && !IPV6.matcher(text).matches()) {
            return false;
        }
        try {
            InetAddress.ofLiteral(text);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns a description of the error in a CIDR block, or an empty string if the block is valid. */
    static String cidrProblem(String cidr) {
        int slash = cidr.indexOf('/');
        if (slash < 0 || !isIpAddress(cidr.substring(0, slash))) {
            return "expected a CIDR block such as 192.0.2.0/24 but was " + ObjectFields.quote(cidr);
        }
        byte[] address = InetAddress.ofLiteral(cidr.substring(0, slash)).getAddress();
        int bits = address.length * Byte.SIZE;
        int length = prefixLength(cidr.substring(slash + 1));
        if (length < 0 || length > bits) {
            return "expected a prefix length from 0 to " + bits + " but was " + ObjectFields.quote(cidr);
        }
        if (new BigInteger(1, address).getLowestSetBit() >= 0
                && new BigInteger(1, address).getLowestSetBit() < bits - length) {
            return "address has bits set beyond the prefix length: " + ObjectFields.quote(cidr);
        }
        return "";
    }

    private static int prefixLength(String digits) {
        return digits.matches("\\d{1,3}") ? Integer.parseInt(digits) : -1;
    }
}
