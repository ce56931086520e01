package org.lycheetray.measure.once;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;
import org.HdrHistogram.Histogram;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.ClaimEffect;
import org.lycheetray.core.once.ClaimKey;
import org.lycheetray.core.once.ClaimRequest;
import org.lycheetray.core.once.ClaimSettings;
import org.lycheetray.core.once.ClaimTable;
import org.lycheetray.core.once.ClaimVerdict;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.time.MonotonicTime;

/** Poisson arrivals at one VM against a table without faults: how many claims share a write, and what that costs. */
final class GroupCommitRun {
    private static final Duration LENGTH = Duration.ofSeconds(20);
    private static final Duration TICK = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final FaultPlan NO_FAULTS = new FaultPlan(0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final double NANOS_PER_MILLI = 1e6;

    private final EventQueue queue = new EventQueue();
    private final RandomGenerator random;
    private final FakeTable table;
    private final ClaimTable claims = new ClaimTable(new Incarnation(new VmName("vm-1"), 1), ClaimSettings.DEFAULT);
    private final Histogram latency = new Histogram(DEADLINE.toNanos(), 3);
    private final double rate;
    private final Map<RequestId, MonotonicTime> started = new HashMap<>();
    private long sent;

    GroupCommitRun(long seed, double rate) {
        random = new Random(seed);
        table = new FakeTable(queue, random, NO_FAULTS);
        this.rate = rate;
    }

    void run() {
        arrive();
        tick();
        queue.runUntil(queue.now().plus(LENGTH));
    }

    double claimsPerWrite() {
        return (double) latency.getTotalCount() / claims.writeCount();
    }

    double writesPerSecond() {
        return (double) claims.writeCount() / LENGTH.toSeconds();
    }

    double latencyMillis(double percentile) {
        return latency.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    private void arrive() {
        RequestId id = new RequestId("request-" + ++sent);
        ClaimRequest request = new ClaimRequest(
                id,
                new ClaimKey(Optional.of(new ClientAccountName("account")), id.value()),
                RequestDigest.of("POST", "host", "/", new byte[0]),
                queue.now().plus(DEADLINE),
                Instant.EPOCH);
        started.put(id, queue.now());
        carryOut(claims.claim(request, queue.now()));
        double gap = -Math.log(1 - random.nextDouble()) / rate;
        queue.after(Duration.ofNanos((long) (gap * NANOS_PER_SECOND)), this::arrive);
    }

    private void tick() {
        carryOut(claims.tick(queue.now()));
        queue.after(TICK, this::tick);
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect e : effects) {
            if (e instanceof ClaimEffect.Write w) {
                table.write(w.changes(), r -> carryOut(claims.handleWriteResult(w.number(), r, queue.now())));
            } else if (e instanceof ClaimEffect.Decide d && d.verdict() instanceof ClaimVerdict.Run r) {
                latency.recordValue(
                        queue.now().since(started.remove(d.request())).toNanos());
                carryOut(claims.recordResult(r.attempt(), new AttemptResult.Unknown(), queue.now()));
            }
        }
    }
}
