package org.lycheetray.platform.memory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.ScanPage;

class MemoryTableServiceTest {
    private static final RowKey A = new RowKey("a");
    private static final RowKey B = new RowKey("b");

    private final FaultInjector faults = new FaultInjector(1);
    private final MemoryTableService tables = new MemoryTableService(faults);

    @Test
    void appliesAllChangesOfWriteOrNone() {
        write(new RowChange.Put(A, RowChange.ABSENT, "1"));

        WriteResult r = write(new RowChange.Put(B, RowChange.ABSENT, "2"), new RowChange.Check(A, RowChange.ABSENT));

        assertThat(r).isEqualTo(new WriteResult.Conflict(List.of(new Row(A, 1, "1"))));
        assertThat(tables.read(B).block()).isEmpty();
    }

    @Test
    void deletesOnlyOnExpectedRevision() {
        write(new RowChange.Put(A, RowChange.ABSENT, "1"));

        assertThat(write(new RowChange.Delete(A, 7))).isInstanceOf(WriteResult.Conflict.class);
        assertThat(write(new RowChange.Delete(A, 1))).isInstanceOf(WriteResult.Applied.class);
        assertThat(tables.read(A).block()).isEmpty();
    }

    @Test
    void rejectsTwoChangesOfSameRow() {
        assertThatThrownBy(() -> write(new RowChange.Check(A, 0), new RowChange.Put(A, 0, "1")))
                .hasMessageContaining("more than one change of a");
    }

    @Test
    void scanContinuesAfterLastKeyOfPage() {
        IntStream.range(0, 5).forEach(i -> write(new RowChange.Put(new RowKey("p/" + i), RowChange.ABSENT, "v")));
        write(new RowChange.Put(new RowKey("q/0"), RowChange.ABSENT, "v"));

        ScanPage first = tables.scan("p/", 3).block();
        ScanPage second = tables.scan("p/", first.next(), 3).block();

        assertThat(first.rows()).extracting(r -> r.key().value()).containsExactly("p/0", "p/1", "p/2");
        assertThat(second.rows()).extracting(r -> r.key().value()).containsExactly("p/3", "p/4");
        assertThat(second.next()).isEmpty();
    }

    @Test
    void scanAllReadsEveryPage() {
        int rows = MemoryTableService.SCAN_PAGE_ROWS * 2 + 1;
        IntStream.range(0, rows).forEach(i -> write(new RowChange.Put(new RowKey("p/" + i), RowChange.ABSENT, "v")));

        assertThat(tables.scanAll("p/").map(Row::key).distinct().count().block())
                .isEqualTo(rows);
    }

    @Test
    void outageWritesNothing() {
        faults.setDown(true);

        assertThatThrownBy(() -> write(new RowChange.Put(A, RowChange.ABSENT, "1")))
                .isInstanceOf(PlatformException.class);

        faults.setDown(false);
        assertThat(tables.read(A).block()).isEmpty();
    }

    @Test
    void lostAnswerGivesUnknownForAppliedWrite() {
        faults.setLostAnswerShare(1);

        assertThat(write(new RowChange.Put(A, RowChange.ABSENT, "1"))).isInstanceOf(WriteResult.Unknown.class);
        assertThat(tables.read(A).block()).contains(new Row(A, 1, "1"));
    }

    private WriteResult write(RowChange... changes) {
        return tables.write(List.of(changes)).block();
    }
}
