package org.lycheetray.daemon.limit;

/** Reserves memory for the lines of a head while it arrives. */
@FunctionalInterface
public interface HeadMemory {
    /** Is called when the first line of a head has been decoded. */
    default void beginHead() {}

    /**
     * Reserves memory for a line.
     *
     * @param bytes number of bytes
     * @return true if the memory was reserved
     */
    boolean tryGrow(long bytes);
}
