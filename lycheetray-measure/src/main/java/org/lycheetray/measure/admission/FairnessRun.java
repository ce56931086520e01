package org.lycheetray.measure.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lycheetray.core.fair.FairQueue;
import org.lycheetray.core.fair.FairQueueLimits;
import org.lycheetray.core.fair.OfferResult;
import org.lycheetray.core.fair.Selection;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * One service's slots at one data centre with one client account at five times its part of them.
 *
 * <p>The other accounts ask for four fifths of the slots that their equal weights entitle them to.
 */
final class FairnessRun {
    private static final int ACCOUNTS = 8;
    private static final int SLOTS = 12;
    private static final double SERVICE_SECONDS = 0.05;
    private static final double LOAD = 0.8;
    private static final double EXCESS = 5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final FairQueueLimits LIMITS = new FairQueueLimits(120, 60);

    private final EventLoop loop = new EventLoop();
    private final FairQueue<ClientAccountName> queue = new FairQueue<>(LIMITS);
    private final Map<ClientAccountName, Integer> offered = new HashMap<>();
    private final Map<ClientAccountName, Integer> answered = new HashMap<>();
    private final List<ClientAccountName> firstComeQueue = new ArrayList<>();
    private final boolean fair;
    private final Random random;
    private int free = SLOTS;

    FairnessRun(boolean fair, long seed) {
        this.fair = fair;
        this.random = new Random(seed);
    }

    /** Share of requests answered of the worst-served account within its rate, percent. */
    double worstServedPercent(Duration length) {
        double fairPerSecond = SLOTS / SERVICE_SECONDS / ACCOUNTS;
        MonotonicTime end = loop.now().plus(length);
        for (int i = 0; i < ACCOUNTS; i++) {
            ClientAccountName account = new ClientAccountName("account-" + i);
            double perSecond = fairPerSecond * (i == 0 ? EXCESS : LOAD);
            MonotonicTime t = loop.now().plus(exponential(perSecond));
            while (t.isBefore(end)) {
                loop.at(t, () -> arrive(account));
                t = t.plus(exponential(perSecond));
            }
        }
        loop.runUntil(end.plus(DEADLINE));
        return offered.keySet().stream()
                .filter(a -> !a.value().endsWith("-0"))
                .mapToDouble(a -> 100.0 * answered.getOrDefault(a, 0) / offered.get(a))
                .min()
                .orElseThrow();
    }

    private void arrive(ClientAccountName account) {
        offered.merge(account, 1, Integer::sum);
        if (fair) {
            OfferResult<ClientAccountName> offer =
                    queue.offer(account, 1, account, loop.now().plus(DEADLINE), loop.now());
            if (offer instanceof OfferResult.Refused) {
                return;
            }
        } else if (firstComeQueue.size() < LIMITS.total()) {
            firstComeQueue.add(account);
        }
        startNext();
    }

    private void startNext() {
        while (free > 0) {
            ClientAccountName next = next();
            if (next == null) {
                return;
            }
            free--;
            loop.after(exponential(1 / SERVICE_SECONDS), () -> {
                answered.merge(next, 1, Integer::sum);
                free++;
                startNext();
            });
        }
    }

    private ClientAccountName next() {
        if (!fair) {
            return firstComeQueue.isEmpty() ? null : firstComeQueue.removeFirst();
        }
        Selection<ClientAccountName> s = queue.take(loop.now());
        return s.next().map(t -> t.item()).orElse(null);
    }

    private Duration exponential(double perSecond) {
        return Duration.ofNanos((long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS_PER_SECOND));
    }
}
