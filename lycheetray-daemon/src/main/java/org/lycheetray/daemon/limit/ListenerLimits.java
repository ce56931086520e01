package org.lycheetray.daemon.limit;

/**
 * Maximum numbers of connections from outside.
 *
 * @param callers connections of callers
 * @param lookups connections for look-ups
 * @param checks connections for readiness checks, and as many for metrics
 * @param relays connections of other VMs
 */
public record ListenerLimits(int callers, int lookups, int checks, int relays) {
    /** Descriptors that are not for sockets, such as those of libraries. */
    private static final int FILES = 200;

    private static final int MIN_SOCKETS = 64;

    private static final int CALLER_PARTS = 16;
    private static final int LOOKUP_PARTS = 2;
    private static final int CHECK_PARTS = 1;
    private static final int RELAY_PARTS = 2;

    /** Parts of the sockets, of which those that are not given to a listener are for connections to servers and VMs. */
    private static final int ALL_PARTS = 32;

    /**
     * Divides the descriptors of a process.
     *
     * @param maxDescriptors maximum number of open descriptors
     * @return limits that leave descriptors for files and for connections to servers, to the store and to other VMs
     * @throws IllegalArgumentException if the number is not positive
     */
    public static ListenerLimits ofDescriptors(int maxDescriptors) {
        if (maxDescriptors < 1) {
            throw new IllegalArgumentException("expected a positive number but was " + maxDescriptors);
        }
        int sockets = Math.max(MIN_SOCKETS, maxDescriptors - FILES);
        return new ListenerLimits(
                part(sockets, CALLER_PARTS),
                part(sockets, LOOKUP_PARTS),
                part(sockets, CHECK_PARTS),
                part(sockets, RELAY_PARTS));
    }

    private static int part(int sockets, int parts) {
        return sockets * parts / ALL_PARTS;
    }
}
