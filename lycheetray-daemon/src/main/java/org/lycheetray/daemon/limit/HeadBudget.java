package org.lycheetray.daemon.limit;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Limits the memory that the heads of messages hold together.
 *
 * <p>A small message for which there is no memory takes that of the one that has been arriving for longest, so that
 * messages that never end can't keep out the others. Large messages leave a share to small ones.
 *
 * <p>Thread-safe.
 */
public final class HeadBudget {
    /** Share that large messages may hold. */
    private static final double LARGE_SHARE = 7.0 / 8;

    /** Size up to which a message is small. */
    private static final int SMALL_BYTES = 64 << 10;

    private final long limit;
    private final Set<Reservation> arriving = new LinkedHashSet<>();
    private long held;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param limit maximum number of bytes held at a time
     */
    public HeadBudget(long limit) {
        this.limit = limit;
    }

    /**
     * Opens an empty reservation.
     *
     * @param giveUp called, on any thread, if the message has to be given up while it is arriving
     * @return the reservation, to be closed when nothing of the message is held any more
     */
    public Reservation open(Runnable giveUp) {
        return new Reservation(giveUp);
    }

    /**
     * Returns what is held now.
     *
     * @return number of bytes
     */
    public synchronized long held() {
        return held;
    }

    /** Memory of the messages of a connection. */
    public final class Reservation implements AutoCloseable {
        private final Runnable giveUp;
        private long bytes;
        private boolean closed;

        private Reservation(Runnable giveUp) {
            this.giveUp = giveUp;
        }

        /**
         * Reserves memory.
         *
         * @param more number of bytes
         * @return true if the memory was reserved, false too if the reservation is closed
         */
        public boolean tryGrow(long more) {
            List<Reservation> victims = new ArrayList<>();
            boolean reserved;
            synchronized (HeadBudget.this) {
                if (isSmall(more)) {
                    freeFor(more, victims);
                }
                reserved = !closed && fits(more);
                if (reserved) {
                    add(more);
                }
            }
            victims.forEach(v -> v.giveUp.run());
            return reserved;
        }

        private boolean isSmall(long more) {
            return bytes + more <= SMALL_BYTES;
        }

        private boolean fits(long more) {
            return held + more <= (isSmall(more) ? limit : (long) (limit * LARGE_SHARE));
        }

        private void freeFor(long more, List<Reservation> victims) {
            Iterator<Reservation> i = arriving.iterator();
            while (!fits(more) && i.hasNext()) {
                Reservation r = i.next();
                if (r != this) {
                    i.remove();
                    r.free();
                    victims.add(r);
                }
            }
        }

        private void add(long more) {
            bytes += more;
            held += more;
        }

        private void free() {
            closed = true;
            add(-bytes);
        }

        /**
         * Releases a part of the memory.
         *
         * @param less number of bytes
         */
        public void shrink(long less) {
            synchronized (HeadBudget.this) {
                if (!closed) {
                    add(-less);
                }
            }
        }

        /** Marks the message as arriving; it may be given up for the memory of others. */
        public void markArriving() {
            synchronized (HeadBudget.this) {
                if (!closed) {
                    arriving.add(this);
                }
            }
        }

        /** Marks the message as whole; it is not given up any more. */
        public void complete() {
            synchronized (HeadBudget.this) {
                arriving.remove(this);
            }
        }

        @Override
        public void close() {
            synchronized (HeadBudget.this) {
                arriving.remove(this);
                free();
            }
        }
    }
}
