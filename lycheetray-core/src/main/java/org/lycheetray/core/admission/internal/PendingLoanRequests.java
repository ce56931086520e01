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
 * Loan requests of one client account that have no answer yet, and what is known of each peer's spare tokens.
 *
 * <p>A peer that had less than was asked for is left alone for a pause, which doubles while it has nothing. So a client
 * account over its rate costs few messages.
 */
final class PendingLoanRequests {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(250);
    private static final Duration NO_ANSWER_PAUSE = Duration.ofSeconds(1);
    private static final Duration REQUESTING_PEER_PAUSE = Duration.ofMillis(100);
    private static final Duration INITIAL_BACKOFF = Duration.ofMillis(20);
    private static final int MAX_BACKOFF_DOUBLINGS = 5;

    private final Map<LoanId, Pending> pending = new LinkedHashMap<>();
    private final Map<VmName, Peer> peers = new HashMap<>();

    /** Drops requests whose loan would have lapsed and marks peers that did not answer in time. */
    void refresh(MonotonicTime now, Duration loanPeriod) {
        pending.values().removeIf(p -> now.since(p.sentAt).compareTo(loanPeriod) >= 0);
        for (Pending p : pending.values()) {
            if (!p.overdue && now.since(p.sentAt).compareTo(ANSWER_TIMEOUT) >= 0) {
                p.overdue = true;
                peer(p.peer).pauseUntil(now.plus(NO_ANSWER_PAUSE));
            }
        }
    }

    void recordSent(LoanId id, VmName peer, long tokens, long guess, MonotonicTime now) {
        pending.put(id, new Pending(peer, now, tokens, Math.min(tokens, expectedSpare(peer, guess))));
    }

    /** Takes note of an answer; empty if the request is unknown or was answered before. */
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

    /** A peer that asks has nothing to spare. */
    void recordRequestFrom(VmName name, MonotonicTime now) {
        Peer p = peer(name);
        p.spare = 0;
        p.pauseUntil(now.plus(REQUESTING_PEER_PAUSE));
    }

    /** Peers worth asking now, those that are known to have most in front, else in the order given. */
    List<VmName> availablePeers(List<VmName> candidates, long guess, MonotonicTime now) {
        List<VmName> result = new ArrayList<>();
        for (VmName c : candidates) {
            Peer p = peers.get(c);
            if ((p == null || p.isAvailable(now)) && !isOutstanding(c)) {
                result.add(c);
            }
        }
        result.sort(Comparator.comparingLong(c -> -expectedSpare(c, guess)));
        return result;
    }

    private boolean isOutstanding(VmName name) {
        return pending.values().stream().anyMatch(p -> !p.overdue && p.peer.equals(name));
    }

    long expectedSpare(VmName name, long guess) {
        Peer p = peers.get(name);
        return p == null || p.spare < 0 ? guess : Math.max(p.spare, 1);
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

    /** A request without answer. */
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

    /** What is known of a peer; a negative spare means nothing is known. */
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
