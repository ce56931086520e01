package org.lycheetray.core.manifest.internal;

import java.math.BigInteger;
import java.net.InetAddress;
import java.util.regex.Pattern;

/** Checks IP numbers and address blocks without ever asking a name server. */
final class AddressUtil {
    private static final Pattern IPV4 = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}");
    private static final Pattern IPV6 = Pattern.compile("[0-9a-fA-F:.]*:[0-9a-fA-F:.]*");

    private AddressUtil() {}

    static boolean isIpNumber(String text) {
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

    /** Gives what is wrong with a block, or an empty text. */
    static String blockProblem(String cidr) {
        int slash = cidr.indexOf('/');
        if (slash < 0 || !isIpNumber(cidr.substring(0, slash))) {
            return "expected a block as 192.0.2.0/24 but was " + ObjectFields.quote(cidr);
        }
        byte[] address = InetAddress.ofLiteral(cidr.substring(0, slash)).getAddress();
        int bits = address.length * Byte.SIZE;
        int length = prefixLength(cidr.substring(slash + 1));
        if (length < 0 || length > bits) {
            return "expected a prefix length from 0 to " + bits + " but was " + ObjectFields.quote(cidr);
        }
        if (new BigInteger(1, address).getLowestSetBit() >= 0
                && new BigInteger(1, address).getLowestSetBit() < bits - length) {
            return "address bits are set beyond the prefix length in " + ObjectFields.quote(cidr);
        }
        return "";
    }

    private static int prefixLength(String digits) {
        return digits.matches("\\d{1,3}") ? Integer.parseInt(digits) : -1;
    }
}
