package org.lycheetray.daemon.admission;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.request.AdmissionGate;
import org.lycheetray.daemon.request.RateLimits;
import org.lycheetray.daemon.request.RequestContext;
import reactor.core.publisher.Mono;

/** Splits every client account's rate and burst evenly between the declared VMs. */
public final class StaticAdmission implements AdmissionGate {
    private static final double NANOS_PER_SECOND = 1e9;

    private final ControlThread control;
    private final Clock clock;
    private final Map<ClientAccountName, Bucket> buckets = new HashMap<>();

    /** A token bucket that starts empty. */
    private static final class Bucket {
        private double tokens;
        private MonotonicTime filled;

        Bucket(MonotonicTime now) {
            filled = now;
        }

        void fill(Rate rate, int vms, MonotonicTime now) {
            double added = now.since(filled).toNanos() / NANOS_PER_SECOND * rate.perSecond() / vms;
            tokens = Math.min(tokens + added, (double) rate.burst() / vms);
            filled = now;
        }
    }

    /**
     * Creates the gate with empty buckets.
     *
     * @param control owns the buckets
     * @param clock clock for refills
     */
    public StaticAdmission(ControlThread control, Clock clock) {
        this.control = control;
        this.clock = clock;
    }

    @Override
    public Mono<Decision> admit(RequestContext request) {
        return control.call(() -> decide(request));
    }

    private Decision decide(RequestContext request) {
        ClientAccountName name = request.account().orElseThrow();
        Rate rate = request.config().manifest().clientAccounts().stream()
                .filter(a -> a.name().equals(name))
                .map(ClientAccount::rate)
                .findFirst()
                .orElseThrow();
        int vms = Math.max(1, request.config().manifest().vms().size());
        MonotonicTime now = clock.monotonic();
        Bucket bucket = buckets.computeIfAbsent(name, n -> new Bucket(now));
        bucket.fill(rate, vms, now);
        double share = (double) rate.perSecond() / vms;
        if (bucket.tokens < 1) {
            Duration wait = Duration.ofNanos((long) ((1 - bucket.tokens) / share * NANOS_PER_SECOND));
            return new Decision.OverRate(new RateLimits(rate.perSecond(), rate.burst(), 0, wait), wait);
        }
        bucket.tokens -= 1;
        Duration reset = Duration.ofNanos((long) (NANOS_PER_SECOND / share));
        return new Decision.Admitted(new RateLimits(rate.perSecond(), rate.burst(), (long) bucket.tokens, reset));
    }
}
