package org.lycheetray.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.time.MonotonicTime;

class LedgerWriterTest {
    private static final LedgerLimits LIMITS = new LedgerLimits(3, Duration.ofSeconds(5), 6, Duration.ofSeconds(1));
    private static final MonotonicTime LATER = MonotonicTime.ZERO.plus(Duration.ofSeconds(5));

    private final LedgerWriter writer = new LedgerWriter(LedgerLines.INCARNATION, LIMITS);

    @Test
    void storesAnEmptySegmentAtTheStart() {
        LedgerSegment first = only(writer.start(MonotonicTime.ZERO, LedgerLines.START));

        assertThat(first.number()).isZero();
        assertThat(first.requests()).isZero();
    }

    @Test
    void sealsAtTheMaximumNumberOfLines() {
        startAndStoreFirst();

        assertThat(record(0, 2)).isEmpty();
        assertThat(only(record(2, 1)).lines()).hasSize(3);
    }

    @Test
    void sealsAtTheMaximumAge() {
        startAndStoreFirst();
        record(0, 1);

        assertThat(writer.tick(LATER, LedgerLines.START)).hasSize(1);
    }

    @Test
    void storesOneSegmentAtATimeAndInOrder() {
        startAndStoreFirst();
        record(0, 3);
        assertThat(record(3, 3)).isEmpty();

        LedgerSegment second = only(writer.segmentStored(MonotonicTime.ZERO, LedgerLines.START));

        assertThat(second.number()).isEqualTo(2);
        assertThat(second.precedingRequests()).isEqualTo(3);
    }

    @Test
    void storesTheSameSegmentAgainAfterAFailure() {
        startAndStoreFirst();
        LedgerSegment first = only(record(0, 3));
        writer.storeFailed(MonotonicTime.ZERO);

        assertThat(writer.tick(MonotonicTime.ZERO, LedgerLines.START)).isEmpty();
        assertThat(only(writer.tick(LATER, LedgerLines.START))).isSameAs(first);
    }

    @Test
    void onlyCountsRequestsBeyondTheLimitOfHeldLines() {
        startAndStoreFirst();
        record(0, 10);
        assertThat(writer.heldLines()).isEqualTo(6);

        LedgerSegment next = only(writer.segmentStored(MonotonicTime.ZERO, LedgerLines.START));

        assertThat(next.lines()).hasSize(3);
        assertThat(next.counts()).containsExactly(new LedgerCount(LedgerKey.of(LedgerLines.line(9)), 4));
    }

    @Test
    void lastSegmentIsMarkedAndStoredAfterPendingSegments() {
        startAndStoreFirst();
        record(0, 4);
        assertThat(writer.finish(MonotonicTime.ZERO, LedgerLines.START)).isEmpty();

        LedgerSegment end = only(writer.segmentStored(MonotonicTime.ZERO, LedgerLines.START));

        assertThat(end.last()).isTrue();
        assertThat(writer.segmentStored(MonotonicTime.ZERO, LedgerLines.START)).isEmpty();
        assertThat(writer.isFlushed()).isTrue();
    }

    @Test
    void rejectsLinesAfterTheLedgerIsClosed() {
        startAndStoreFirst();
        writer.finish(MonotonicTime.ZERO, LedgerLines.START);

        assertThatThrownBy(() -> record(0, 1)).isInstanceOf(IllegalStateException.class);
    }

    private void startAndStoreFirst() {
        writer.start(MonotonicTime.ZERO, LedgerLines.START);
        writer.segmentStored(MonotonicTime.ZERO, LedgerLines.START);
    }

    private List<LedgerEffect> record(int first, int lines) {
        List<LedgerEffect> effects = new ArrayList<>();
        for (int i = first; i < first + lines; i++) {
            effects.addAll(writer.record(LedgerLines.line(i), MonotonicTime.ZERO, LedgerLines.START));
        }
        return effects;
    }

    private static LedgerSegment only(List<LedgerEffect> effects) {
        assertThat(effects).hasSize(1);
        return ((LedgerEffect.Store) effects.getFirst()).segment();
    }
}
