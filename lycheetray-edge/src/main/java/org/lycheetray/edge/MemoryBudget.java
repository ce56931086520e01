package org.lycheetray.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.lycheetray.core.model.ClientAccountName;

/**
 * Limits the heap that requests and answers use together: those being received, waiting, running and being delivered.
 *
 * <p>Requests and answers have a part each, so that the answer of a request that has run can be received however many
 * requests there are. One client account can't hold all of the requests' part. Large bodies leave a share of each part
 * to small ones. A large answer of known length waits until its length is free; of those of unknown length the largest
 * is given up, so that an answer without end can't fail the answers of other requests. A small request for which there
 * is no memory takes that of the small one that has been arriving for longest, so that callers that never finish their
 * requests can't keep out the others.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
public final class MemoryBudget {
    /** Share of the heap; the rest is for the routing state, and for what the garbage collector has not freed yet. */
    private static final double HEAP_SHARE = 1.0 / 2;

    /** Share of the budget for requests; the rest is for answers. */
    private static final double REQUEST_SHARE = 5.0 / 8;

    /** Share of the requests' part that one client account may hold with more than one request. */
    private static final double ACCOUNT_SHARE = 3.0 / 4;

    /** Share of each part that large bodies may hold. */
    private static final double LARGE_SHARE = 7.0 / 8;

    /** Size up to which a request or an answer is small. */
    private static final int SMALL_BYTES = 64 << 10;

    private final long limit;
    private final Executor executor;
    private final long requestLimit;
    private final long answerLimit;
    private final Map<Optional<ClientAccountName>, Long> heldByAccount = new HashMap<>();
    private final Set<RequestMemory> arriving = new LinkedHashSet<>();
    private final Set<AnswerMemory> receiving = new HashSet<>();
    private final Deque<WaitingAnswer> waiting = new ArrayDeque<>();
    private boolean resumeScheduled;
    private long requestBytes;
    private long answerBytes;

    /**
     * Creates a budget.
     *
     * @param limit maximum number of bytes held at a time
     * @param executor runs what has waited for memory after the current event
     */
    public MemoryBudget(long limit, Executor executor) {
        this.limit = limit;
        this.executor = executor;
        requestLimit = share(limit, REQUEST_SHARE);
        answerLimit = limit - requestLimit;
    }

    private static long share(long bytes, double share) {
        return (long) (bytes * share);
    }

    /**
     * Creates the budget of a process.
     *
     * @param maxHeap largest size of its heap in bytes
     * @param executor runs what has waited for memory after the current event
     * @return a budget of which nothing is held
     */
    public static MemoryBudget ofHeap(long maxHeap, Executor executor) {
        return new MemoryBudget(share(maxHeap, HEAP_SHARE), executor);
    }

    /**
     * Returns the limit.
     *
     * @return maximum number of bytes held at a time
     */
    public long limit() {
        return limit;
    }

    /**
     * Returns the length of the longest answer that can be received.
     *
     * @return number of bytes
     */
    public long maxAnswerBytes() {
        return share(answerLimit, LARGE_SHARE);
    }

    /**
     * Returns what is held now.
     *
     * @return number of bytes
     */
    public long held() {
        return requestBytes + answerBytes;
    }

    /**
     * Opens the account of a request's memory.
     *
     * @param account client account of the request, if it has one; requests without one share a part
     * @param giveUp called if the request has to be given up while it is arriving
     * @return an empty reservation, to be closed when the request has its reply
     */
    public RequestMemory openRequest(Optional<ClientAccountName> account, Runnable giveUp) {
        return new RequestMemory(account, giveUp);
    }

    /**
     * Opens the account of an answer's memory.
     *
     * @param giveUp called if an answer of unknown length has to be given up; must close the reservation
     * @return an empty reservation, to be closed when the answer is no longer held
     */
    public AnswerMemory openAnswer(Runnable giveUp) {
        return new AnswerMemory(giveUp);
    }

    /** An answer of known length that waits until its length is free. */
    private record WaitingAnswer(AnswerMemory answer, long bytes, Runnable onReserved) {}

    private void resumeLater() {
        if (!waiting.isEmpty() && !resumeScheduled) {
            resumeScheduled = true;
            executor.execute(() -> {
                resumeScheduled = false;
                resumeWaiting();
            });
        }
    }

    /** Resumes answers in the order in which they came; a large one that does not fit does not hold up small ones. */
    private void resumeWaiting() {
        boolean largeWaits = false;
        for (WaitingAnswer w : List.copyOf(waiting)) {
            boolean small = w.bytes <= SMALL_BYTES;
            if (waiting.contains(w) && (small || !largeWaits)) {
                if (w.answer.fits(w.bytes)) {
                    waiting.remove(w);
                    w.answer.add(w.bytes);
                    w.onReserved.run();
                } else {
                    largeWaits |= !small;
                }
            }
        }
    }

    private Optional<AnswerMemory> largestOfUnknownLength() {
        AnswerMemory largest = null;
        for (AnswerMemory a : receiving) {
            if (!a.lengthKnown && (largest == null || a.bytes > largest.bytes)) {
                largest = a;
            }
        }
        return Optional.ofNullable(largest);
    }

    /** Memory reserved for one body. */
    public interface Memory {
        /**
         * Reserves memory.
         *
         * @param more number of bytes
         * @return true if the memory was reserved
         */
        boolean tryGrow(long more);

        /**
         * Releases a part of the memory.
         *
         * @param less number of bytes
         */
        void shrink(long less);
    }

    /** Memory of a request from its first byte until its reply. */
    public final class RequestMemory implements Memory, AutoCloseable {
        private final Optional<ClientAccountName> account;
        private final Runnable giveUp;
        private long bytes;

        private RequestMemory(Optional<ClientAccountName> account, Runnable giveUp) {
            this.account = account;
            this.giveUp = giveUp;
        }

        /** Marks the request as arriving; it may be given up for the memory of others. */
        public void markArriving() {
            arriving.add(this);
        }

        /** Marks the request as whole; it is not given up any more. */
        public void complete() {
            arriving.remove(this);
        }

        /**
         * Reserves memory, unless too much is held by all or by the client account.
         *
         * @param more number of bytes
         * @return true if the memory was reserved
         */
        @Override
        public boolean tryGrow(long more) {
            while (!fitsAll(more) || !fitsAccount(more)) {
                Optional<RequestMemory> longest =
                        isSmall(more) ? longestArriving(!fitsAccount(more)) : Optional.empty();
                if (longest.isEmpty()) {
                    return false;
                }
                longest.get().close();
                longest.get().giveUp.run();
            }
            add(more);
            return true;
        }

        private boolean isSmall(long more) {
            return bytes + more <= SMALL_BYTES;
        }

        private boolean fitsAll(long more) {
            return requestBytes + more <= share(requestLimit, isSmall(more) ? 1 : LARGE_SHARE);
        }

        private boolean fitsAccount(long more) {
            long ofOthers = heldByAccount.getOrDefault(account, 0L) - bytes;
            // Small requests without an account come from many callers, which don't share a part.
            boolean limited = ofOthers > 0 && (account.isPresent() || !isSmall(more));
            return !limited || ofOthers + bytes + more <= share(requestLimit, ACCOUNT_SHARE);
        }

        /** Returns the small request that has been arriving for longest, apart from this one. */
        private Optional<RequestMemory> longestArriving(boolean sameAccount) {
            return arriving.stream()
                    .filter(m -> m != this && m.bytes > 0 && m.isSmall(0))
                    .filter(m -> !sameAccount || m.account.equals(account))
                    .findFirst();
        }

        /**
         * Holds this much memory, also if it is not free, since it can't be avoided.
         *
         * @param total number of bytes
         */
        public void hold(long total) {
            add(total - bytes);
        }

        @Override
        public void shrink(long less) {
            add(-less);
        }

        private void add(long more) {
            bytes += more;
            requestBytes += more;
            heldByAccount.merge(account, more, Long::sum);
            heldByAccount.remove(account, 0L);
        }

        @Override
        public void close() {
            complete();
            add(-bytes);
        }
    }

    /** Memory of an answer from its first byte until it is delivered or dropped. */
    public final class AnswerMemory implements Memory, AutoCloseable {
        private final Runnable giveUp;
        private boolean lengthKnown;
        private long bytes;

        private AnswerMemory(Runnable giveUp) {
            this.giveUp = giveUp;
        }

        /**
         * Reserves the length of the answer, now or as soon as it is free.
         *
         * @param length number of bytes
         * @param onReserved called if the length was not free at once
         * @return true if the length was free
         */
        public boolean reserveLength(long length, Runnable onReserved) {
            lengthKnown = true;
            if (fits(length) && (length <= SMALL_BYTES || waiting.isEmpty())) {
                add(length);
                return true;
            }
            waiting.addLast(new WaitingAnswer(this, length, onReserved));
            return false;
        }

        private boolean fits(long more) {
            return answerBytes + more <= share(answerLimit, bytes + more <= SMALL_BYTES ? 1 : LARGE_SHARE);
        }

        private void add(long more) {
            receiving.add(this);
            bytes += more;
            answerBytes += more;
        }

        /** Reserves memory for an answer of unknown length, at the cost of a larger one if necessary. */
        @Override
        public boolean tryGrow(long more) {
            while (!fits(more)) {
                Optional<AnswerMemory> largest = largestOfUnknownLength();
                if (largest.isEmpty() || largest.get() == this || largest.get().bytes <= bytes + more) {
                    return false;
                }
                largest.get().giveUp.run();
                largest.get().close();
            }
            add(more);
            return true;
        }

        @Override
        public void shrink(long less) {
            bytes -= less;
            answerBytes -= less;
            resumeLater();
        }

        /** Marks the answer as whole; it is not given up any more. */
        public void complete() {
            receiving.remove(this);
        }

        @Override
        public void close() {
            complete();
            waiting.removeIf(w -> w.answer == this);
            answerBytes -= bytes;
            bytes = 0;
            resumeLater();
        }
    }
}
