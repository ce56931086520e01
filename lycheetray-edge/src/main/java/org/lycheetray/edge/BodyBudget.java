package org.lycheetray.edge;

/**
 * Limits the memory that buffered bodies use together.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class BodyBudget {
    private final long limit;
    private long reserved;

    /**
     * Creates a budget.
     *
     * @param limit maximum number of bytes reserved at a time
     */
    public BodyBudget(long limit) {
        this.limit = limit;
    }

    /**
     * Reserves memory unless the limit would be exceeded.
     *
     * @param bytes number of bytes
     * @return true if the memory was reserved
     */
    public boolean tryReserve(int bytes) {
        if (reserved + bytes > limit) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    /**
     * Releases reserved memory.
     *
     * @param bytes number of bytes
     */
    public void release(long bytes) {
        reserved -= bytes;
    }
}
