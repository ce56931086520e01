package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.time.MonotonicTime;

class ClaimSweeperTest {
    private static final Duration HORIZON = Duration.ofHours(24);
    private static final Instant FAR_AHEAD = Instant.ofEpochSecond(500_000 * 3600L);

    private final ClaimSweeper sweeper = new ClaimSweeper(MonotonicTime.ZERO);

    @Test
    void limitsWatermarkStepWhenClockIsFast() {
        Optional<Row> row = Optional.of(new Row(ClaimExpiryWatermark.ROW, 3, "400000"));
        assertThat(sweeper.applyWatermark(row, HORIZON, FAR_AHEAD, MonotonicTime.ZERO))
                .isInstanceOf(SweepEffect.Scan.class);
        assertThat(sweeper.applyWatermark(row, HORIZON, FAR_AHEAD, MonotonicTime.ZERO.plus(ClaimKey.BUCKET)))
                .isEqualTo(new SweepEffect.RaiseWatermark(new RowChange.Put(ClaimExpiryWatermark.ROW, 3, "400002")));
    }

    @Test
    void deletesExpiredBucketsOnly() {
        sweeper.applyWatermark(
                Optional.of(new Row(ClaimExpiryWatermark.ROW, 3, "400000")), HORIZON, FAR_AHEAD, MonotonicTime.ZERO);
        Row old = new Row(new RowKey("claim/0000399999/a/k"), 1, "");
        Row open = new Row(new RowKey("claim/0000400000/a/k"), 2, "");
        Row undated = new Row(new RowKey("claim/undated/a/k"), 2, "");
        assertThat(sweeper.selectExpired(List.of(old, open, undated)))
                .contains(new SweepEffect.Delete(List.of(new RowChange.Delete(old.key(), 1))));
    }
}
