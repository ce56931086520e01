package org.lycheetray.edge.front;

/**
 * Limits the memory that all buffered request bodies use together.
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

    boolean tryReserve(int bytes) {
        if (reserved + bytes > limit) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    void release(long bytes) {
        reserved -= bytes;
    }
}
