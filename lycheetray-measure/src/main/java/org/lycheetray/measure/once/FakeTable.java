package org.lycheetray.measure.once;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

/** Table service in virtual time that loses, delays and doubles writes and their answers. */
final class FakeTable {
    private static final Duration TIMEOUT = Duration.ofMillis(500);
    private static final int FASTEST_MS = 1;
    private static final int SLOWEST_MS = 40;
    private static final int LATEST_MS = 15_000;

    private final Map<RowKey, Row> rows = new HashMap<>();
    private final EventQueue queue;
    private final RandomGenerator random;
    private final FaultPlan plan;
    private MonotonicTime downUntil = MonotonicTime.ZERO;
    private long revision;
    private long applied;

    FakeTable(EventQueue queue, RandomGenerator random, FaultPlan plan) {
        this.queue = queue;
        this.random = random;
        this.plan = plan;
    }

    void goDown(Duration d) {
        downUntil = queue.now().plus(d);
    }

    long applied() {
        return applied;
    }

    void write(List<RowChange> changes, Consumer<WriteResult> answer) {
        boolean down = queue.now().isBefore(downUntil);
        if (strikes(plan.writeLost()) || (down && random.nextBoolean())) {
            lose(answer);
        } else if (strikes(plan.writeLate())) {
            queue.after(millis(TIMEOUT.toMillis(), LATEST_MS), () -> apply(changes));
            lose(answer);
        } else if (down || strikes(plan.writeAnswerLost())) {
            queue.after(millis(FASTEST_MS, SLOWEST_MS), () -> apply(changes));
            lose(answer);
        } else {
            queue.after(millis(FASTEST_MS, SLOWEST_MS), () -> answer(changes, answer));
        }
        if (strikes(plan.writeDoubled())) {
            queue.after(millis(FASTEST_MS, LATEST_MS), () -> apply(changes));
        }
    }

    private void lose(Consumer<WriteResult> answer) {
        queue.after(TIMEOUT, () -> answer.accept(new WriteResult.Unknown("write: no answer of the table")));
    }

    private void answer(List<RowChange> changes, Consumer<WriteResult> answer) {
        WriteResult result = apply(changes);
        Duration back = millis(FASTEST_MS, SLOWEST_MS);
        queue.after(back, () -> answer.accept(result));
        if (strikes(plan.writeDoubled())) {
            queue.after(back.multipliedBy(2), () -> answer.accept(result));
        }
    }

    private WriteResult apply(List<RowChange> changes) {
        List<Row> failed = new ArrayList<>();
        boolean conflict = false;
        for (RowChange c : changes) {
            Row present = rows.get(c.key());
            long has = present == null ? RowChange.ABSENT : present.revision();
            if (c.expectedRevision() != RowChange.ANY && c.expectedRevision() != has) {
                conflict = true;
                if (present != null) {
                    failed.add(present);
                }
            }
        }
        if (conflict) {
            return new WriteResult.Conflict(failed);
        }
        revision++;
        applied++;
        changes.forEach(this::change);
        return new WriteResult.Applied(revision);
    }

    private void change(RowChange c) {
        switch (c) {
            case RowChange.Put p -> rows.put(p.key(), new Row(p.key(), revision, p.value()));
            case RowChange.Delete d -> rows.remove(d.key());
            case RowChange.Check k -> {}
        }
    }

    private boolean strikes(double share) {
        return random.nextDouble() < share;
    }

    private Duration millis(long from, long to) {
        return Duration.ofMillis(random.nextLong(from, to + 1));
    }
}
