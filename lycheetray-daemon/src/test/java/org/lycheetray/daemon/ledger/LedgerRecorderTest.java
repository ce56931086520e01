package org.lycheetray.daemon.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.ledger.LedgerCodec;
import org.lycheetray.core.ledger.LedgerGap;
import org.lycheetray.core.ledger.LedgerLimits;
import org.lycheetray.core.ledger.LedgerPeriod;
import org.lycheetray.core.ledger.LedgerReport;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.ledger.LedgerTotal;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.request.FinishedRequest;
import org.lycheetray.platform.memory.FaultInjector;
import org.lycheetray.platform.memory.MemoryObjectStore;

class LedgerRecorderTest {
    private static final LedgerLimits LIMITS = new LedgerLimits(100, Duration.ofMillis(50), 300, Duration.ofMillis(10));

    private final FaultInjector faults = new FaultInjector(1);
    private final MemoryObjectStore objects = new MemoryObjectStore(faults);
    private final ControlThread control = new ControlThread();
    private final Clock clock = Clock.system();
    private final LedgerRecorder recorder = LedgerRecorder.create(
            new Incarnation(new VmName("de-a-1"), clock.millis()), LIMITS, objects, control, clock);

    @AfterEach
    void stop() {
        control.close();
    }

    @Test
    void closeWritesAllLines() throws Exception {
        record(1_000);
        recorder.close();

        assertThat(requests(report())).isEqualTo(1_000);
        assertThat(report().gaps(Instant.EPOCH)).isEmpty();
    }

    @Test
    void totalsAreExactAfterOutageThatFillsMemory() throws Exception {
        faults.setDown(true);
        record(5_000);
        awaitHeldLines();
        faults.setDown(false);
        recorder.close();

        assertThat(requests(report())).isEqualTo(5_000);
        assertThat(report().gaps(Instant.EPOCH)).isEmpty();
    }

    @Test
    void lostStoreResponsesNeitherLoseNorDuplicateLines() throws Exception {
        faults.setLostAnswerShare(0.5);
        record(2_000);
        recorder.close();

        faults.setLostAnswerShare(0);
        assertThat(requests(report())).isEqualTo(2_000);
    }

    @Test
    void crashLeavesOpenGap() throws Exception {
        record(1);
        for (int i = 0; i < 500 && segments().isEmpty(); i++) {
            Thread.sleep(10);
        }

        assertThat(report().gaps(Instant.EPOCH)).extracting(LedgerGap::kind).containsExactly(LedgerGap.Kind.OPEN);
    }

    private void record(int requests) {
        IntStream.range(0, requests).forEach(i -> recorder.onRequestFinished(request(i)));
    }

    private void awaitHeldLines() throws InterruptedException {
        for (int i = 0; i < 500 && recorder.heldLines() < LIMITS.maxHeldLines(); i++) {
            Thread.sleep(10);
        }
    }

    private List<LedgerSegment> segments() {
        return objects.listAll("ledger/")
                .concatMap(objects::get)
                .map(o -> LedgerCodec.decode(o.orElseThrow()).get())
                .collectList()
                .block();
    }

    private LedgerReport report() {
        LedgerReport report = new LedgerReport(Instant.EPOCH, Instant.MAX, LedgerPeriod.ALL);
        segments().forEach(report::add);
        return report;
    }

    private static long requests(LedgerReport report) {
        return report.totals().stream().mapToLong(LedgerTotal::requests).sum();
    }

    private FinishedRequest request(int i) {
        return new FinishedRequest(
                clock.instant(),
                new RequestId("r" + i),
                Optional.empty(),
                Optional.empty(),
                Outcome.NOT_RUN,
                "unknown-route",
                ConfigVersion.NONE,
                Optional.empty(),
                Optional.empty(),
                0,
                404,
                Duration.ZERO);
    }
}
