package org.lycheetray.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

class DistributedRateLimiterTest {
    private static final VmName LOCAL_VM = Manifests.vm(0);
    private static final VmName PEER = Manifests.vm(1);
    private static final MonotonicTime START = MonotonicTime.ZERO;
    private static final Duration WAIT = Duration.ofSeconds(1);

    private final DistributedRateLimiter limiter =
            new DistributedRateLimiter(new Incarnation(LOCAL_VM, 1), RateLimiterOptions.DEFAULT);

    @BeforeEach
    void configure() {
        limiter.updateConfigs(List.of(Manifests.of(new Rate(1, 12), 2)), START);
    }

    @Test
    void processWithoutItsShareAdmitsNothing() {
        assertThat(admit(START.plus(Duration.ofHours(1)))).isNotInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void callerThatWaitsForRetryAfterAndIsAloneIsAdmitted() {
        limiter.acquireShare(LOCAL_VM, START, START);
        limiter.updateUnreachable(Set.of(PEER));
        MonotonicTime now = START.plus(Duration.ofHours(1));
        RateDecision d = admit(now);
        while (d instanceof RateDecision.Admitted) {
            d = admit(now);
        }

        Duration retryAfter = ((RateDecision.Refused) d).retryAfter();

        assertThat(admit(now.plus(retryAfter))).isInstanceOf(RateDecision.Admitted.class);
    }

    @Test
    void duplicateRequestGetsTheSameAnswerAndIsLentOnce() {
        limiter.acquireShare(LOCAL_VM, START, START);
        MonotonicTime now = START.plus(Duration.ofHours(1));
        LoanId id = new LoanId(new Incarnation(PEER, 1), 1);
        LoanMessage request =
                new LoanMessage.Request(id, Manifests.ACCOUNT, RateShare.TOKEN, RateShare.TOKEN / 4, true);

        List<RateEffect> first = limiter.onMessage(PEER, request, now);
        RateShare left = limiter.usableShare(Manifests.ACCOUNT, now);

        assertThat(limiter.onMessage(PEER, request, now)).isEqualTo(first);
        assertThat(limiter.usableShare(Manifests.ACCOUNT, now)).isEqualTo(left);
    }

    @Test
    void expiredLoanReturnsToTheIssuer() {
        limiter.acquireShare(LOCAL_VM, START, START);
        MonotonicTime now = START.plus(Duration.ofHours(1));
        RateShare before = limiter.usableShare(Manifests.ACCOUNT, now);
        LoanId id = new LoanId(new Incarnation(PEER, 1), 1);
        limiter.onMessage(PEER, new LoanMessage.Request(id, Manifests.ACCOUNT, RateShare.TOKEN, 0, true), now);

        MonotonicTime expiry = now.plus(RateLimiterOptions.DEFAULT.maxLoanLifetime());

        assertThat(limiter.usableShare(Manifests.ACCOUNT, expiry.plus(Duration.ofNanos(-1))))
                .isNotEqualTo(before);
        assertThat(limiter.usableShare(Manifests.ACCOUNT, expiry)).isEqualTo(before);
    }

    @Test
    void accountThatIsNotDeclaredIsRefused() {
        AdmissionResult a = limiter.admit(new ClientAccountName("other"), START.plus(WAIT), START);

        assertThat(a.decision())
                .isInstanceOfSatisfying(
                        RateDecision.Refused.class,
                        r -> assertThat(r.reason()).isEqualTo(RateDecision.Reason.UNKNOWN_ACCOUNT));
    }

    private RateDecision admit(MonotonicTime now) {
        return limiter.admit(Manifests.ACCOUNT, now.plus(WAIT), now).decision();
    }
}
