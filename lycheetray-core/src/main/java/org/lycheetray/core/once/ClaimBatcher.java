package org.lycheetray.core.once;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Combines changes of claims into few conditional writes (group commit).
 *
 * <p>Every write also checks the revision of the expiry watermark, so that no claim can be written into a bucket whose
 * claims may have been deleted, regardless of clock differences.
 */
final class ClaimBatcher {
    private final ClaimSettings settings;
    private final Set<ClaimEntry> queue = new LinkedHashSet<>();
    private final Map<Long, List<ClaimEntry>> inFlight = new HashMap<>();
    private long lastWriteNumber;
    private ClaimExpiryWatermark watermark = ClaimExpiryWatermark.NONE;

    ClaimBatcher(ClaimSettings settings) {
        this.settings = settings;
    }

    ClaimExpiryWatermark watermark() {
        return watermark;
    }

    void raiseWatermark(ClaimExpiryWatermark next) {
        if (next.revision() > watermark.revision()) {
            watermark = next;
        }
    }

    long writeCount() {
        return lastWriteNumber;
    }

    boolean isIdle() {
        return queue.isEmpty() && inFlight.isEmpty();
    }

    void enqueue(ClaimEntry e, MonotonicTime now) {
        enqueueAfter(e, now, now);
    }

    void enqueueAfter(ClaimEntry e, MonotonicTime now, MonotonicTime notBefore) {
        e.queuedAt = now;
        e.notBefore = notBefore;
        queue.add(e);
    }

    void remove(ClaimEntry e) {
        queue.remove(e);
    }

    Optional<List<ClaimEntry>> removeInFlight(long number) {
        return Optional.ofNullable(inFlight.remove(number));
    }

    Optional<MonotonicTime> due() {
        if (inFlight.size() >= settings.maxWritesInFlight()) {
            return Optional.empty();
        }
        return queue.stream().map(this::dueTime).min(Comparator.naturalOrder());
    }

    List<ClaimEffect> flush(MonotonicTime now) {
        List<ClaimEffect> effects = new ArrayList<>();
        while (inFlight.size() < settings.maxWritesInFlight()) {
            List<ClaimEntry> batch = nextBatch(now);
            if (batch.isEmpty()) {
                break;
            }
            effects.add(submit(batch));
        }
        return effects;
    }

    private List<ClaimEntry> nextBatch(MonotonicTime now) {
        List<ClaimEntry> ready =
                queue.stream().filter(e -> !now.isBefore(e.notBefore)).toList();
        boolean due = ready.size() >= settings.maxBatch() || ready.stream().anyMatch(e -> !now.isBefore(dueTime(e)));
        if (!due) {
            return List.of();
        }
        ClaimEntry first = ready.getFirst();
        if (first.writeAlone) {
            return List.of(first);
        }
        return ready.stream()
                .filter(e -> !e.writeAlone)
                .limit(settings.maxBatch())
                .toList();
    }

    private MonotonicTime dueTime(ClaimEntry e) {
        MonotonicTime lingered = e.queuedAt.plus(settings.linger());
        return lingered.isBefore(e.notBefore) ? e.notBefore : lingered;
    }

    private ClaimEffect submit(List<ClaimEntry> batch) {
        List<RowChange> changes = new ArrayList<>();
        changes.add(new RowChange.Check(ClaimExpiryWatermark.ROW, watermark.revision()));
        for (ClaimEntry e : batch) {
            queue.remove(e);
            e.lastSubmitted = e.content;
            changes.add(e.toRowChange());
        }
        inFlight.put(++lastWriteNumber, batch);
        return new ClaimEffect.Write(lastWriteNumber, changes);
    }
}
