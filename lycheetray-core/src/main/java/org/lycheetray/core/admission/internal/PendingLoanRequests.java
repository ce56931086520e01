package org.lycheetray.core.admission.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.admission.LoanId;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Unanswered loan requests of one client account, and the last known spare tokens of each peer.
 *
 * <p>A peer that lent less than requested gets no further request for a pause, which doubles with each answer without a
 * token. This limits the messages for a client account that exceeds its rate.
 */
final class PendingLoanRequests {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(250);
    private static final Duration NO_ANSWER_PAUSE = Duration.ofSeconds(1);
    private static final Duration REQUESTING_PEER_PAUSE = Duration.ofMillis(100);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final Map<LoanId, Pending> pending = new LinkedHashMap<>();
    private final Map<VmName, Peer> peers = new HashMap<>();

    /** Removes requests whose loan would have expired, and pauses requests to peers that did not answer in time. */
    void refresh(MonotonicTime now, Duration loanPeriod) {
        pending.values().removeIf(p -> now.since(p.sentAt).compareTo(loanPeriod) >= 0);
        for (Pending p : pending.values()) {
            if (!p.overdue && now.since(p.sentAt).compareTo(ANSWER_TIMEOUT) >= 0) {
                p.overdue = true;
                peer(p.peer).pauseUntil(now.plus(NO_ANSWER_PAUSE));
            }
        }
    }

    void recordSent(LoanId id, VmName peer, long tokens, long defaultSpare, MonotonicTime now) {
        pending.put(id, new Pending(peer, now, tokens, Math.min(tokens, expectedSpare(peer, defaultSpare))));
    }

    /** Records an answer and returns its request, or empty if the request is unknown or already answered. */
    Optional<Pending> recordAnswer(LoanMessage.Answer answer, MonotonicTime now) {
        Pending p = pending.remove(answer.id());
        if (p == null) {
            return Optional.empty();
        }
        Peer peer = peer(p.peer);
        peer.spare = answer.spare();
        if (answer.tokens() >= p.tokens) {
            peer.consecutiveEmptyAnswers = 0;
            peer.pauseUntil(now);
        } else {
            peer.consecutiveEmptyAnswers = answer.tokens() >= RateShare.TOKEN ? 0 : peer.consecutiveEmptyAnswers + 1;
            int doublings = Math.min(peer.consecutiveEmptyAnswers, MAX_BACKOFF_DOUBLINGS);
            peer.pauseUntil(now.plus(INITIAL_BACKOFF.multipliedBy(1L << doublings)));
        }
        return Optional.of(p);
    }

    /** Records that a peer requested a loan and so has no spare tokens itself. */
    void recordRequestFrom(VmName name, MonotonicTime now) {
        Peer p = peer(name);
        p.spare = 0;
        p.pauseUntil(now.plus(REQUESTING_PEER_PAUSE));
    }

    /**
     * Returns the peers that a loan can be requested from now, those with most expected spare tokens first, otherwise
     * in the given order.
     */
    List<VmName> availablePeers(List<VmName> candidates, long defaultSpare, MonotonicTime now) {
        List<VmName> result = new ArrayList<>();
        for (VmName c : candidates) {
            Peer p = peers.get(c);
            if ((p == null || p.isAvailable(now)) && !isOutstanding(c)) {
                result.add(c);
            }
        }
        result.sort(Comparator.comparingLong(c -> -expectedSpare(c, defaultSpare)));
        return result;
    }

    private boolean isOutstanding(VmName name) {
        return pending.values().stream().anyMatch(p -> !p.overdue && p.peer.equals(name));
    }

    long expectedSpare(VmName name, long defaultSpare) {
        Peer p = peers.get(name);
        return p == null || p.spare < 0 ? defaultSpare : Math.max(p.spare, 1);
    }

    int outstandingCount() {
        return (int) pending.values().stream().filter(p -> !p.overdue).count();
    }

    long outstandingTokens() {
        return pending.values().stream()
                .filter(p -> !p.overdue)
                .mapToLong(p -> p.expected)
                .sum();
    }

    boolean isEmpty() {
        return pending.isEmpty();
    }

    private Peer peer(VmName name) {
        return peers.computeIfAbsent(name, n -> new Peer());
    }

    /** A loan request without an answer. */
    static final class Pending {
        final VmName peer;
        final MonotonicTime sentAt;
        private final long tokens;
        private final long expected;
        private boolean overdue;

        Pending(VmName peer, MonotonicTime sent, long tokens, long expected) {
            this.peer = peer;
            this.sentAt = sent;
            this.tokens = tokens;
            this.expected = expected;
        }
    }

    /** Last known state of a peer. A negative {@code spare} means unknown. */
    private static final class Peer {
        private long spare = -1;
        private int consecutiveEmptyAnswers;
        private MonotonicTime pausedUntil;

        void pauseUntil(MonotonicTime t) {
            pausedUntil = t;
        }

        boolean isAvailable(MonotonicTime now) {
            return pausedUntil == null || !now.isBefore(pausedUntil);
        }
    }
}
