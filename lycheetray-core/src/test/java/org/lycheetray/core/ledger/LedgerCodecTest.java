package org.lycheetray.core.ledger;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;

class LedgerCodecTest {
    private static final LedgerLine BARE = new LedgerLine(
            LedgerLines.START,
            new RequestId("de-a-1.x.9"),
            Optional.empty(),
            Optional.empty(),
            Optional.empty(),
            Outcome.NOT_RUN,
            "unknown-route",
            ConfigVersion.NONE,
            Optional.empty(),
            0,
            404);
    private static final LedgerSegment SEGMENT = new LedgerSegment(
            LedgerLines.SELF,
            7,
            LedgerLines.START,
            40,
            2,
            true,
            List.of(LedgerLines.line(1), BARE),
            List.of(new LedgerCount(LedgerKey.of(LedgerLines.line(1)), 5), new LedgerCount(LedgerKey.of(BARE), 1)));

    @Test
    void readsWhatItWrote() {
        assertThat(LedgerCodec.decode(LedgerCodec.encode(SEGMENT)).get()).isEqualTo(SEGMENT);
    }

    @Test
    void refusesASegmentThatIsCutShort() {
        byte[] whole = LedgerCodec.encode(SEGMENT);

        assertThat(LedgerCodec.decode(Arrays.copyOf(whole, whole.length / 2)).isLeft())
                .isTrue();
    }

    @Test
    void refusesBytesThatAreNoSegment() {
        assertThat(LedgerCodec.decode(new byte[] {1, 2, 3}).getLeft()).startsWith("not a ledger segment");
    }

    @Test
    void namesSortInTheOrderOfWriting() {
        assertThat(LedgerNames.of(SEGMENT)).isEqualTo("ledger/2026-12-04/de-a-1/0001796360400000/00000007");
    }

    @Test
    void findsTheProcessInARequestId() {
        String id = "de-a-1." + Long.toString(LedgerLines.SELF.number(), 36) + ".2f";

        assertThat(LedgerNames.incarnation(new RequestId(id))).contains(LedgerLines.SELF);
        assertThat(LedgerNames.incarnation(new RequestId("nonsense"))).isEmpty();
    }
}
