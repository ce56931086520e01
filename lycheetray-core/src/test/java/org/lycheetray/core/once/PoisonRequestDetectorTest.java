package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServerName;

class PoisonRequestDetectorTest {
    private static final BackendServerName B0 = new BackendServerName("b0");
    private static final BackendServerName B1 = new BackendServerName("b1");
    private static final RequestDigest POISON = new RequestDigest("p0");
    private static final RequestDigest HARMLESS = new RequestDigest("i0");
    private static final RequestDigest OTHER_HARMLESS = new RequestDigest("i1");

    private final PoisonRequestDetector localVm = new PoisonRequestDetector();
    private final PoisonRequestDetector remoteVm = new PoisonRequestDetector();
    private final Instant firstCrash = Instant.ofEpochSecond(1000);
    private final Instant secondCrash = firstCrash.plusSeconds(60);

    @Test
    void quarantinesAtSecondCrashOnly() {
        localVm.recordCrash(B0, List.of(POISON, HARMLESS), firstCrash);
        assertThat(localVm.isQuarantined(POISON, firstCrash)).isFalse();
        localVm.recordCrash(B1, List.of(POISON, OTHER_HARMLESS), secondCrash);
        assertThat(localVm.isQuarantined(POISON, secondCrash)).isTrue();
        assertThat(localVm.isQuarantined(HARMLESS, secondCrash)).isFalse();
        assertThat(localVm.isQuarantined(OTHER_HARMLESS, secondCrash)).isFalse();
    }

    @Test
    void countsCrashesObservedByOtherVms() {
        localVm.recordCrash(B0, List.of(POISON), firstCrash).forEach(remoteVm::merge);
        remoteVm.recordCrash(B1, List.of(POISON), secondCrash).forEach(localVm::merge);
        assertThat(localVm.isQuarantined(POISON, secondCrash)).isTrue();
        assertThat(localVm.records()).isEqualTo(remoteVm.records());
    }

    @Test
    void countsTwoObservationsOfOneCrashOnce() {
        localVm.recordCrash(B0, List.of(POISON), firstCrash).forEach(remoteVm::merge);
        remoteVm.recordCrash(B0, List.of(POISON), firstCrash.plusSeconds(1));
        assertThat(remoteVm.isQuarantined(POISON, secondCrash)).isFalse();
    }

    @Test
    void answerClearsSuspect() {
        localVm.recordCrash(B0, List.of(HARMLESS), firstCrash);
        localVm.recordAnswer(HARMLESS, firstCrash.plusSeconds(1));
        localVm.recordCrash(B1, List.of(HARMLESS), secondCrash);
        assertThat(localVm.isQuarantined(HARMLESS, secondCrash)).isFalse();
    }

    @Test
    void quarantinesSeveralSuspectsOnlyBriefly() {
        localVm.recordCrash(B0, List.of(POISON, HARMLESS), firstCrash);
        localVm.recordCrash(B1, List.of(POISON, HARMLESS), secondCrash);
        Instant after = secondCrash.plus(SuspectRecord.AMBIGUOUS_QUARANTINE);
        assertThat(localVm.isQuarantined(HARMLESS, secondCrash)).isTrue();
        assertThat(localVm.isQuarantined(HARMLESS, after)).isFalse();
    }

    @Test
    void quarantineExpires() {
        localVm.recordCrash(B0, List.of(POISON), firstCrash);
        localVm.recordCrash(B1, List.of(POISON), secondCrash);
        Instant after = secondCrash.plus(Duration.ofMinutes(10));
        localVm.removeExpired(after);
        assertThat(localVm.isQuarantined(POISON, after)).isFalse();
        assertThat(localVm.records()).isEmpty();
    }

    @Test
    void decodesEncodedRecord() {
        SuspectRecord r = localVm.recordCrash(B0, List.of(POISON), firstCrash).getFirst();
        assertThat(SuspectRecordCodec.decode(SuspectRecordCodec.encode(r))).contains(r);
    }
}
