package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServerName;

class PoisonSuspectsTest {
    private static final BackendServerName B0 = new BackendServerName("b0");
    private static final BackendServerName B1 = new BackendServerName("b1");
    private static final RequestDigest POISON = new RequestDigest("p0");
    private static final RequestDigest INNOCENT = new RequestDigest("i0");
    private static final RequestDigest LATER_INNOCENT = new RequestDigest("i1");

    private final PoisonSuspects here = new PoisonSuspects();
    private final PoisonSuspects there = new PoisonSuspects();
    private final Instant first = Instant.ofEpochSecond(1000);
    private final Instant second = first.plusSeconds(60);

    @Test
    void quarantinesAfterTheSecondCrashOnly() {
        here.crashed(B0, List.of(POISON, INNOCENT), first);
        assertThat(here.isQuarantined(POISON, first)).isFalse();
        here.crashed(B1, List.of(POISON, LATER_INNOCENT), second);
        assertThat(here.isQuarantined(POISON, second)).isTrue();
        assertThat(here.isQuarantined(INNOCENT, second)).isFalse();
        assertThat(here.isQuarantined(LATER_INNOCENT, second)).isFalse();
    }

    @Test
    void countsCrashesThatOtherVmsSaw() {
        here.crashed(B0, List.of(POISON), first).forEach(there::heard);
        there.crashed(B1, List.of(POISON), second).forEach(here::heard);
        assertThat(here.isQuarantined(POISON, second)).isTrue();
        assertThat(here.records()).isEqualTo(there.records());
    }

    @Test
    void twoSightingsOfOneCrashCountOnce() {
        here.crashed(B0, List.of(POISON), first).forEach(there::heard);
        there.crashed(B0, List.of(POISON), first.plusSeconds(1));
        assertThat(there.isQuarantined(POISON, second)).isFalse();
    }

    @Test
    void anAnswerClearsASuspect() {
        here.crashed(B0, List.of(INNOCENT), first);
        here.answered(INNOCENT, first.plusSeconds(1));
        here.crashed(B1, List.of(INNOCENT), second);
        assertThat(here.isQuarantined(INNOCENT, second)).isFalse();
    }

    @Test
    void severalSuspectsAreKeptBackOnlyBriefly() {
        here.crashed(B0, List.of(POISON, INNOCENT), first);
        here.crashed(B1, List.of(POISON, INNOCENT), second);
        Instant after = second.plus(SuspectRecord.DOUBTFUL_QUARANTINE);
        assertThat(here.isQuarantined(INNOCENT, second)).isTrue();
        assertThat(here.isQuarantined(INNOCENT, after)).isFalse();
    }

    @Test
    void aQuarantineExpires() {
        here.crashed(B0, List.of(POISON), first);
        here.crashed(B1, List.of(POISON), second);
        Instant after = second.plus(Duration.ofMinutes(10));
        here.expire(after);
        assertThat(here.isQuarantined(POISON, after)).isFalse();
        assertThat(here.records()).isEmpty();
    }

    @Test
    void survivesItsTextForm() {
        SuspectRecord r = here.crashed(B0, List.of(POISON), first).getFirst();
        assertThat(SuspectRecordCodec.decode(SuspectRecordCodec.encode(r))).contains(r);
    }
}
