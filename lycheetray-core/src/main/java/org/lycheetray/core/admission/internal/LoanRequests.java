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
final class LoanRequests {
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(250);
    private static final Duration SILENT_PAUSE = Duration.ofSeconds(1);
    private static final Duration SHORT_PAUSE = Duration.ofMillis(100);
    private static final Duration FIRST_DRY_PAUSE = Duration.ofMillis(20);
    private static final int MAX_DOUBLINGS = 5;

    private final Map<LoanId, Pending> pending = new LinkedHashMap<>();
    private final Map<VmName, Peer> peers = new HashMap<>();

    /** Drops requests whose loan would have lapsed and marks peers that did not answer in time. */
    void refresh(MonotonicTime now, Duration loanPeriod) {
        pending.values().removeIf(p -> now.since(p.sent).compareTo(loanPeriod) >= 0);
        for (Pending p : pending.values()) {
            if (!p.overdue && now.since(p.sent).compareTo(ANSWER_TIMEOUT) >= 0) {
                p.overdue = true;
                peer(p.peer).leaveAloneUntil(now.plus(SILENT_PAUSE));
            }
        }
    }

    void sent(LoanId id, VmName peer, long tokens, long guess, MonotonicTime now) {
        pending.put(id, new Pending(peer, now, tokens, Math.min(tokens, expected(peer, guess))));
    }

    /** Takes note of an answer; empty if the request is unknown or was answered before. */
    Optional<Pending> answered(LoanMessage.Answer answer, MonotonicTime now) {
        Pending p = pending.remove(answer.id());
        if (p == null) {
            return Optional.empty();
        }
        Peer peer = peer(p.peer);
        peer.spare = answer.spare();
        if (answer.tokens() >= p.tokens) {
            peer.dryAnswers = 0;
            peer.leaveAloneUntil(now);
        } else {
            peer.dryAnswers = answer.tokens() >= RateShare.TOKEN ? 0 : peer.dryAnswers + 1;
            int doublings = Math.min(peer.dryAnswers, MAX_DOUBLINGS);
            peer.leaveAloneUntil(now.plus(FIRST_DRY_PAUSE.multipliedBy(1L << doublings)));
        }
        return Optional.of(p);
    }

    /** A peer that asks has nothing to spare. */
    void askedBy(VmName name, MonotonicTime now) {
        Peer p = peer(name);
        p.spare = 0;
        p.leaveAloneUntil(now.plus(SHORT_PAUSE));
    }

    /** Peers worth asking now, those that are known to have most in front, else in the order given. */
    List<VmName> askable(List<VmName> candidates, long guess, MonotonicTime now) {
        List<VmName> result = new ArrayList<>();
        for (VmName c : candidates) {
            Peer p = peers.get(c);
            if ((p == null || p.isAskable(now)) && !isOutstanding(c)) {
                result.add(c);
            }
        }
        result.sort(Comparator.comparingLong(c -> -expected(c, guess)));
        return result;
    }

    private boolean isOutstanding(VmName name) {
        return pending.values().stream().anyMatch(p -> !p.overdue && p.peer.equals(name));
    }

    long expected(VmName name, long guess) {
        Peer p = peers.get(name);
        return p == null || p.spare < 0 ? guess : Math.max(p.spare, 1);
    }

    int outstanding() {
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
        final MonotonicTime sent;
        private final long tokens;
        private final long expected;
        private boolean overdue;

        Pending(VmName peer, MonotonicTime sent, long tokens, long expected) {
            this.peer = peer;
            this.sent = sent;
            this.tokens = tokens;
            this.expected = expected;
        }
    }

    /** What is known of a peer; a negative spare means nothing is known. */
    private static final class Peer {
        private long spare = -1;
        private int dryAnswers;
        private MonotonicTime leftAloneUntil;

        void leaveAloneUntil(MonotonicTime t) {
            leftAloneUntil = t;
        }

        boolean isAskable(MonotonicTime now) {
            return leftAloneUntil == null || !now.isBefore(leftAloneUntil);
        }
    }
}
