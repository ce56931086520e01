package org.lycheetray.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.OptionalLong;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;

class LedgerReportTest {
    private static final Instant END = LedgerLines.START.plus(Duration.ofHours(2));

    private final LedgerReport report = new LedgerReport(LedgerLines.START, END, LedgerPeriod.HOUR);

    @Test
    void totalsByAccountAndPeriodAddUp() {
        Instant second = LedgerLines.START.plus(Duration.ofHours(1));
        report.add(segment(
                0,
                0,
                false,
                LedgerLines.line(1, "members", Outcome.ANSWERED, LedgerLines.START),
                LedgerLines.line(2, "members", Outcome.NOT_RUN, LedgerLines.START),
                LedgerLines.line(3, "", Outcome.UNKNOWN, LedgerLines.START),
                LedgerLines.line(4, "members", Outcome.ANSWERED, second),
                LedgerLines.line(5, "members", Outcome.ANSWERED, END)));

        assertThat(report.totals()).extracting(LedgerTotal::requests).containsExactly(1L, 2L, 1L);
        LedgerTotal members = report.totals().get(1);
        assertThat(members.answered()).isEqualTo(1);
        assertThat(members.notRun()).isEqualTo(1);
        assertThat(members.reasons()).containsEntry("nearest", 1L).containsEntry("over-rate", 1L);
    }

    @Test
    void missingSegmentIsReportedWithItsSize() {
        report.add(segment(0, 0, false, LedgerLines.line(0)));
        report.add(segment(3, 21, true, LedgerLines.line(30)));

        assertThat(gaps())
                .containsExactly(new LedgerGap(
                        LedgerGap.Kind.MISSING, LedgerLines.INCARNATION, 1, OptionalLong.of(20), sealed(0), sealed(3)));
    }

    @Test
    void missingFirstSegmentIsReported() {
        report.add(segment(1, 4, true));

        assertThat(gaps()).extracting(LedgerGap::requests).containsExactly(OptionalLong.of(4));
    }

    @Test
    void crashGapEndsWithTheNextIncarnationOfTheVm() {
        Incarnation next = new Incarnation(
                LedgerLines.INCARNATION.vm(), LedgerLines.START.plusSeconds(60).toEpochMilli());
        report.add(segment(0, 0, false, LedgerLines.line(0)));
        report.add(new LedgerSegment(next, 0, sealed(60), 0, 0, true, List.of(), List.of()));

        LedgerGap gap = gaps().getFirst();

        assertThat(gaps()).hasSize(1);
        assertThat(gap.kind()).isEqualTo(LedgerGap.Kind.UNFINISHED);
        assertThat(gap.from()).isEqualTo(sealed(0));
        assertThat(gap.to()).isEqualTo(LedgerLines.START.plusSeconds(60));
    }

    @Test
    void latestIncarnationWithoutLastSegmentIsReportedAsOpen() {
        report.add(segment(0, 0, false));

        assertThat(gaps()).extracting(LedgerGap::kind).containsExactly(LedgerGap.Kind.OPEN);
    }

    @Test
    void unrecordedRequestsAreReported() {
        report.add(segment(0, 0, false));
        report.add(new LedgerSegment(LedgerLines.INCARNATION, 1, sealed(1), 0, 9, true, List.of(), List.of()));

        assertThat(gaps()).extracting(LedgerGap::kind).containsExactly(LedgerGap.Kind.UNRECORDED);
        assertThat(gaps()).extracting(LedgerGap::requests).containsExactly(OptionalLong.of(9));
    }

    @Test
    void completeLedgerHasNoGaps() {
        report.add(segment(1, 1, true, LedgerLines.line(1)));
        report.add(segment(0, 0, false, LedgerLines.line(0)));

        assertThat(gaps()).isEmpty();
    }

    @Test
    void segmentsBeforeTheListedTimeAreNotReportedAsMissing() {
        report.add(segment(5, 100, true));

        assertThat(report.gaps(LedgerLines.START.plusSeconds(1))).isEmpty();
    }

    private List<LedgerGap> gaps() {
        return report.gaps(LedgerLines.START);
    }

    private static Instant sealed(long number) {
        return LedgerLines.START.plusSeconds(number);
    }

    private static LedgerSegment segment(long number, long before, boolean last, LedgerLine... lines) {
        return new LedgerSegment(
                LedgerLines.INCARNATION, number, sealed(number), before, 0, last, List.of(lines), List.of());
    }
}
