package org.lycheetray.core.membership;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.membership.internal.LeadRow;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Lease on the lead role of a data centre, stored in the row {@code lead/DATACENTRE}.
 *
 * <p>The lease does not depend on synchronized clocks. The holder measures the duration from the time at which it sent
 * the write. A contender measures it from the time at which it first read that revision, which is later, and waits for
 * an additional margin. Check {@link #authority} immediately before each action that requires the lease, because the
 * process may have been paused beyond the end of the lease. The term is a fencing token against operations that a
 * former holder left in progress.
 *
 * <p>While the store is unavailable, the lead candidate of the membership acts without a lease, as
 * {@link LeadAuthority#ACTING}.
 */
public final class LeadLease {
    private final RowKey key;
    private final Incarnation localIncarnation;
    private final LeadLeaseSettings settings;
    private boolean candidate;
    private boolean storeUnavailable;
    private MonotonicTime nextOperationAt;
    private MonotonicTime validUntil;
    private long term;
    private long renewal;
    private Operation pendingOperation;
    private Operation unresolvedWrite;
    private ObservedRow observed;

    private record Operation(Optional<LeadRow> written, MonotonicTime sentAt) {}

    private record ObservedRow(long revision, Optional<LeadRow> row, MonotonicTime since) {}

    private LeadLease(
            DataCentreName dataCentre, Incarnation localIncarnation, LeadLeaseSettings settings, MonotonicTime now) {
        this.key = new RowKey("lead/" + dataCentre);
        this.localIncarnation = localIncarnation;
        this.settings = settings;
        this.nextOperationAt = now;
    }

    /**
     * Creates a lease that is not held.
     *
     * @param dataCentre data centre of the local VM
     * @param localIncarnation incarnation of the local VM
     * @param settings durations and intervals
     * @param now current time
     * @return the lease
     */
    public static LeadLease create(
            DataCentreName dataCentre, Incarnation localIncarnation, LeadLeaseSettings settings, MonotonicTime now) {
        return new LeadLease(dataCentre, localIncarnation, settings, now);
    }

    /**
     * Acquires, renews or reads the lease when due, and detects a store operation that timed out.
     *
     * @param leadCandidate the lead candidate according to the membership
     * @param now current time
     * @return table operations to perform
     */
    public List<LeadEffect> tick(Optional<Incarnation> leadCandidate, MonotonicTime now) {
        candidate = leadCandidate.filter(localIncarnation::equals).isPresent();
        if (pendingOperation != null && now.since(pendingOperation.sentAt).compareTo(settings.answerTimeout()) >= 0) {
            return operationFailed(now);
        }
        if (pendingOperation != null || now.isBefore(nextOperationAt) || !candidate) {
            return List.of();
        }
        return observed == null ? read(now) : renewOrAcquire(now);
    }

    private List<LeadEffect> renewOrAcquire(MonotonicTime now) {
        if (isLead(now)) {
            return write(new LeadRow(localIncarnation, term, ++renewal, false), now);
        }
        if (isFree(now)) {
            long next = observed.row.map(LeadRow::term).orElse(0L) + 1;
            return write(new LeadRow(localIncarnation, Math.max(next, term + 1), ++renewal, false), now);
        }
        return read(now);
    }

    private boolean isFree(MonotonicTime now) {
        boolean released = observed.row.map(LeadRow::released).orElse(true);
        boolean expired =
                now.since(observed.since).compareTo(settings.duration().plus(settings.margin())) >= 0;
        return released || expired;
    }

    /**
     * Releases the lease if it is held.
     *
     * @param now current time
     * @return table operations to perform
     */
    public List<LeadEffect> release(MonotonicTime now) {
        boolean held = isLead(now) && observed != null;
        candidate = false;
        validUntil = null;
        return held ? write(new LeadRow(localIncarnation, term, ++renewal, true), now) : List.of();
    }

    /**
     * Processes the result of a read of the lease row.
     *
     * @param row the row, empty if it does not exist
     * @param now current time
     * @return table operations to perform
     */
    public List<LeadEffect> rowRead(Optional<Row> row, MonotonicTime now) {
        pendingOperation = null;
        storeUnavailable = false;
        nextOperationAt = now.plus(settings.renewal());
        Optional<LeadRow> content = row.flatMap(r -> LeadRow.parse(r.value()));
        long revision = row.map(Row::revision).orElse(RowChange.ABSENT);
        if (observed == null || observed.revision != revision) {
            observed = new ObservedRow(revision, content, now);
            resolveWrite(content);
        }
        boolean free = candidate && (content.isEmpty() || content.get().released());
        return free ? renewOrAcquire(now) : List.of();
    }

    /** Treats a write whose response was lost as applied if the stored row equals the row written. */
    private void resolveWrite(Optional<LeadRow> content) {
        if (unresolvedWrite != null && content.isPresent() && unresolvedWrite.written.equals(content)) {
            extendLease(content.get(), unresolvedWrite.sentAt);
        }
        unresolvedWrite = null;
    }

    private void extendLease(LeadRow row, MonotonicTime sentAt) {
        if (!row.released()) {
            term = row.term();
            validUntil = sentAt.plus(settings.duration());
        }
    }

    /**
     * Processes the failure of a read.
     *
     * @param now current time
     * @return table operations to perform
     */
    public List<LeadEffect> readFailed(MonotonicTime now) {
        return operationFailed(now);
    }

    /**
     * Processes the result of a write.
     *
     * @param result result of the write, possibly unknown
     * @param now current time
     * @return table operations to perform
     */
    public List<LeadEffect> written(WriteResult result, MonotonicTime now) {
        if (pendingOperation == null || pendingOperation.written.isEmpty()) {
            return List.of();
        }
        return switch (result) {
            case WriteResult.Applied a -> applied(a.revision(), now);
            case WriteResult.Conflict c -> conflict(c, now);
            case WriteResult.Unknown u -> operationFailed(now);
        };
    }

    private List<LeadEffect> applied(long revision, MonotonicTime now) {
        LeadRow row = pendingOperation.written.orElseThrow();
        storeUnavailable = false;
        observed = new ObservedRow(revision, Optional.of(row), now);
        extendLease(row, pendingOperation.sentAt);
        pendingOperation = null;
        unresolvedWrite = null;
        nextOperationAt = now.plus(settings.renewal());
        return List.of();
    }

    private List<LeadEffect> conflict(WriteResult.Conflict c, MonotonicTime now) {
        validUntil = null;
        Optional<Row> present =
                c.present().stream().filter(r -> r.key().equals(key)).findFirst();
        List<LeadEffect> next = rowRead(present, now);
        nextOperationAt = isLead(now) ? now : nextOperationAt;
        return next;
    }

    private List<LeadEffect> operationFailed(MonotonicTime now) {
        if (pendingOperation != null && pendingOperation.written.isPresent()) {
            unresolvedWrite = pendingOperation;
        }
        pendingOperation = null;
        storeUnavailable = true;
        nextOperationAt = now.plus(settings.renewal());
        return List.of();
    }

    private List<LeadEffect> read(MonotonicTime now) {
        pendingOperation = new Operation(Optional.empty(), now);
        return List.of(new LeadEffect.ReadRow(key));
    }

    private List<LeadEffect> write(LeadRow row, MonotonicTime now) {
        pendingOperation = new Operation(Optional.of(row), now);
        long revision = observed.revision;
        return List.of(new LeadEffect.WriteRow(new RowChange.Put(key, revision, row.toJson())));
    }

    /**
     * Returns whether the local VM holds the lease.
     *
     * @param now current time, read immediately before the action that requires the lease
     * @return true if the local VM holds the lease, so that no other VM does
     */
    public boolean isLead(MonotonicTime now) {
        return validUntil != null && now.isBefore(validUntil);
    }

    /**
     * Returns the authority of the local VM to act as lead.
     *
     * @param now current time
     * @return the authority
     */
    public LeadAuthority authority(MonotonicTime now) {
        if (isLead(now)) {
            return LeadAuthority.LEASED;
        }
        return candidate && storeUnavailable && !isHeldByAnotherVm(now) ? LeadAuthority.ACTING : LeadAuthority.NONE;
    }

    private boolean isHeldByAnotherVm(MonotonicTime now) {
        boolean unknownOrLocal = observed == null
                || observed.row.filter(r -> r.holder().equals(localIncarnation)).isPresent();
        return !unknownOrLocal && !isFree(now);
    }

    /**
     * Returns the fencing token of the lease.
     *
     * @return the last term held, 0 if the lease was never held
     */
    public long term() {
        return term;
    }
}
