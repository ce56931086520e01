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
    private static final LedgerLine WITHOUT_OPTIONALS = new LedgerLine(
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
            LedgerLines.INCARNATION,
            7,
            LedgerLines.START,
            40,
            2,
            true,
            List.of(LedgerLines.line(1), WITHOUT_OPTIONALS),
            List.of(
                    new LedgerCount(LedgerKey.of(LedgerLines.line(1)), 5),
                    new LedgerCount(LedgerKey.of(WITHOUT_OPTIONALS), 1)));

    @Test
    void decodesWhatItEncoded() {
        assertThat(LedgerCodec.decode(LedgerCodec.encode(SEGMENT)).get()).isEqualTo(SEGMENT);
    }

    @Test
    void rejectsATruncatedSegment() {
        byte[] encoded = LedgerCodec.encode(SEGMENT);

        assertThat(LedgerCodec.decode(Arrays.copyOf(encoded, encoded.length / 2))
                        .isLeft())
                .isTrue();
    }

    @Test
    void rejectsBytesThatAreNotASegment() {
        assertThat(LedgerCodec.decode(new byte[] {1, 2, 3}).getLeft()).startsWith("not a ledger segment");
    }

    @Test
    void namesContainDayVmIncarnationAndNumber() {
        assertThat(LedgerNames.of(SEGMENT)).isEqualTo("ledger/2026-12-04/de-a-1/0001796360400000/00000007");
    }

    @Test
    void parsesTheIncarnationOfARequestId() {
        String id = "de-a-1." + Long.toString(LedgerLines.INCARNATION.number(), 36) + ".2f";

        assertThat(LedgerNames.incarnation(new RequestId(id))).contains(LedgerLines.INCARNATION);
        assertThat(LedgerNames.incarnation(new RequestId("nonsense"))).isEmpty();
    }
}
