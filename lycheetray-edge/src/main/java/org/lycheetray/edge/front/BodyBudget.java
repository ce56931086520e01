package org.lycheetray.edge.front;

/** Memory that all request bodies together may use. For the event loop. */
public final class BodyBudget {
    private final long limit;
    private long used;

    /**
     * Creates a budget.
     *
     * @param limit most bytes that are held at one time
     */
    public BodyBudget(long limit) {
        this.limit = limit;
    }

    boolean take(int bytes) {
        if (used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    void giveBack(long bytes) {
        used -= bytes;
    }
}
