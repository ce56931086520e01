package org.lycheetray.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.memory.MemoryTableService;
import reactor.core.publisher.Mono;

class WriteResolvingTableServiceTest {
    private static final RowKey KEY = new RowKey("k");
    private static final RowChange WRITE = new RowChange.Put(KEY, RowChange.ABSENT, "own");

    private final MemoryTableService memory = new MemoryTableService();
    private final Queue<Loss> losses = new ArrayDeque<>();
    private final TableService tables =
            new WriteResolvingTableService(new LossyTableService(), 2, Duration.ofMillis(1));

    @Test
    void detectsAppliedWriteAfterLostAnswer() {
        losses.add(Loss.ANSWER);

        assertThat(write(WRITE)).isEqualTo(new WriteResult.Applied(1));
    }

    @Test
    void repeatsWriteAfterLostRequest() {
        losses.add(Loss.REQUEST);

        assertThat(write(WRITE)).isEqualTo(new WriteResult.Applied(1));
    }

    @Test
    void reportsConflictIfRowsShowThatNothingWasWritten() {
        RowKey other = new RowKey("other");
        memory.write(List.of(new RowChange.Put(KEY, RowChange.ABSENT, "base"))).block();
        memory.write(List.of(new RowChange.Put(other, RowChange.ABSENT, "in the way")))
                .block();
        losses.add(Loss.REQUEST);

        WriteResult r = write(new RowChange.Put(KEY, 1, "own"), new RowChange.Put(other, RowChange.ABSENT, "own"));

        assertThat(r).isInstanceOf(WriteResult.Conflict.class);
    }

    @Test
    void returnsUnknownIfRowWasOverwrittenByAnotherWriter() {
        losses.add(Loss.ANSWER_THEN_OVERWRITTEN);

        assertThat(write(WRITE)).isInstanceOf(WriteResult.Unknown.class);
    }

    @Test
    void returnsUnknownAfterLastRepetition() {
        losses.addAll(List.of(Loss.REQUEST, Loss.REQUEST, Loss.REQUEST));

        assertThat(write(WRITE)).isInstanceOf(WriteResult.Unknown.class);
    }

    @Test
    void doesNotRepeatUnconditionalWrite() {
        losses.add(Loss.REQUEST);

        assertThat(write(new RowChange.Put(KEY, RowChange.ANY, "own"))).isInstanceOf(WriteResult.Unknown.class);
        assertThat(memory.read(KEY).block()).isEmpty();
    }

    private WriteResult write(RowChange... changes) {
        return tables.write(List.of(changes)).block();
    }

    private enum Loss {
        REQUEST,
        ANSWER,
        ANSWER_THEN_OVERWRITTEN
    }

    /** Loses requests or answers as queued by the test, then works without loss. */
    private final class LossyTableService implements TableService {
        @Override
        public Mono<Optional<Row>> read(RowKey key) {
            return memory.read(key);
        }

        @Override
        public Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit) {
            return memory.scan(prefix, after, limit);
        }

        @Override
        public Mono<WriteResult> write(List<RowChange> changes) {
            return Mono.defer(() -> switch (losses.poll()) {
                case null -> memory.write(changes);
                case REQUEST -> lost();
                case ANSWER -> memory.write(changes).then(lost());
                case ANSWER_THEN_OVERWRITTEN ->
                    memory.write(changes)
                            .then(memory.write(List.of(new RowChange.Put(KEY, RowChange.ANY, "other"))))
                            .then(lost());
            });
        }

        private static Mono<WriteResult> lost() {
            return Mono.just(new WriteResult.Unknown("lost"));
        }
    }
}
