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
 * The lease that confirms the lead of a data centre, kept in the row {@code lead/DATACENTRE}.
 *
 * <p>No two VMs compare clocks. The holder counts the lease from the moment at which it sent the write; a contender
 * counts from the moment at which it first read that revision, which is later, and waits a margin longer. Whoever
 * acts on the lease asks {@link #authority} at that very moment, so that a process that was paused past its lease
 * notices. The term fences what a former holder may have left under way.
 *
 * <p>While the store does not answer, the membership's candidate acts without a lease, as
 * {@link LeadAuthority#ACTING}.
 */
public final class LeadLease {
    private final RowKey key;
    private final Incarnation self;
    private final LeadLeaseSettings settings;
    private boolean candidate;
    private boolean storeFails;
    private MonotonicTime nextStep;
    private MonotonicTime validUntil;
    private long term;
    private long renewal;
    private Operation pending;
    private Operation unsettled;
    private Seen seen;

    private record Operation(Optional<LeadRow> written, MonotonicTime sentAt) {}

    private record Seen(long revision, Optional<LeadRow> row, MonotonicTime since) {}

    private LeadLease(DataCentreName dataCentre, Incarnation self, LeadLeaseSettings settings, MonotonicTime now) {
        this.key = new RowKey("lead/" + dataCentre);
        this.self = self;
        this.settings = settings;
        this.nextStep = now;
    }

    /**
     * Creates the lease of a VM that does not hold it.
     *
     * @param dataCentre the VM's data centre
     * @param self the VM's process
     * @param settings periods
     * @param now the present
     * @return the lease
     */
    public static LeadLease create(
            DataCentreName dataCentre, Incarnation self, LeadLeaseSettings settings, MonotonicTime now) {
        return new LeadLease(dataCentre, self, settings, now);
    }

    /**
     * Lets time pass.
     *
     * @param leadCandidate the candidate that the membership names
     * @param now the present
     * @return what to ask of the store
     */
    public List<LeadEffect> tick(Optional<Incarnation> leadCandidate, MonotonicTime now) {
        candidate = leadCandidate.filter(self::equals).isPresent();
        if (pending != null && now.since(pending.sentAt).compareTo(settings.answerTimeout()) >= 0) {
            return failed(now);
        }
        if (pending != null || now.isBefore(nextStep) || !candidate) {
            return List.of();
        }
        return seen == null ? read(now) : contend(now);
    }

    private List<LeadEffect> contend(MonotonicTime now) {
        if (isLead(now)) {
            return write(new LeadRow(self, term, ++renewal, false), now);
        }
        if (isFree(now)) {
            long next = seen.row.map(LeadRow::term).orElse(0L) + 1;
            return write(new LeadRow(self, Math.max(next, term + 1), ++renewal, false), now);
        }
        return read(now);
    }

    private boolean isFree(MonotonicTime now) {
        boolean given = seen.row.map(LeadRow::released).orElse(true);
        boolean lapsed = now.since(seen.since).compareTo(settings.duration().plus(settings.margin())) >= 0;
        return given || lapsed;
    }

    /**
     * Gives the lease up, if it is held.
     *
     * @param now the present
     * @return what to ask of the store
     */
    public List<LeadEffect> release(MonotonicTime now) {
        boolean held = isLead(now) && seen != null;
        candidate = false;
        validUntil = null;
        return held ? write(new LeadRow(self, term, ++renewal, true), now) : List.of();
    }

    /**
     * Takes the lease row.
     *
     * @param row the row as read, empty if there is none
     * @param now the present
     * @return what to ask of the store
     */
    public List<LeadEffect> rowRead(Optional<Row> row, MonotonicTime now) {
        pending = null;
        storeFails = false;
        nextStep = now.plus(settings.renewal());
        Optional<LeadRow> content = row.flatMap(r -> LeadRow.parse(r.value()));
        long revision = row.map(Row::revision).orElse(RowChange.ABSENT);
        if (seen == null || seen.revision != revision) {
            seen = new Seen(revision, content, now);
            settle(content);
        }
        boolean free = candidate && (content.isEmpty() || content.get().released());
        return free ? contend(now) : List.of();
    }

    /** A write whose answer was lost took effect if the row is the one that it wrote. */
    private void settle(Optional<LeadRow> content) {
        if (unsettled != null && content.isPresent() && unsettled.written.equals(content)) {
            hold(content.get(), unsettled.sentAt);
        }
        unsettled = null;
    }

    private void hold(LeadRow row, MonotonicTime sentAt) {
        if (!row.released()) {
            term = row.term();
            validUntil = sentAt.plus(settings.duration());
        }
    }

    /**
     * Takes note that a read failed.
     *
     * @param now the present
     * @return what to ask of the store
     */
    public List<LeadEffect> readFailed(MonotonicTime now) {
        return failed(now);
    }

    /**
     * Takes the result of a write.
     *
     * @param result what is known of it
     * @param now the present
     * @return what to ask of the store
     */
    public List<LeadEffect> written(WriteResult result, MonotonicTime now) {
        if (pending == null || pending.written.isEmpty()) {
            return List.of();
        }
        return switch (result) {
            case WriteResult.Applied a -> applied(a.revision(), now);
            case WriteResult.Conflict c -> conflict(c, now);
            case WriteResult.Unknown u -> failed(now);
        };
    }

    private List<LeadEffect> applied(long revision, MonotonicTime now) {
        LeadRow row = pending.written.orElseThrow();
        storeFails = false;
        seen = new Seen(revision, Optional.of(row), now);
        hold(row, pending.sentAt);
        pending = null;
        unsettled = null;
        nextStep = now.plus(settings.renewal());
        return List.of();
    }

    private List<LeadEffect> conflict(WriteResult.Conflict c, MonotonicTime now) {
        validUntil = null;
        Optional<Row> present =
                c.present().stream().filter(r -> r.key().equals(key)).findFirst();
        List<LeadEffect> next = rowRead(present, now);
        nextStep = isLead(now) ? now : nextStep;
        return next;
    }

    private List<LeadEffect> failed(MonotonicTime now) {
        if (pending != null && pending.written.isPresent()) {
            unsettled = pending;
        }
        pending = null;
        storeFails = true;
        nextStep = now.plus(settings.renewal());
        return List.of();
    }

    private List<LeadEffect> read(MonotonicTime now) {
        pending = new Operation(Optional.empty(), now);
        return List.of(new LeadEffect.ReadRow(key));
    }

    private List<LeadEffect> write(LeadRow row, MonotonicTime now) {
        pending = new Operation(Optional.of(row), now);
        long revision = seen.revision;
        return List.of(new LeadEffect.WriteRow(new RowChange.Put(key, revision, row.toJson())));
    }

    /**
     * Tells whether this VM holds the lease at this moment.
     *
     * @param now the present, read just before the act that depends on it
     * @return true if no other VM can hold it
     */
    public boolean isLead(MonotonicTime now) {
        return validUntil != null && now.isBefore(validUntil);
    }

    /**
     * Tells how far this VM may act as lead at this moment.
     *
     * @param now the present
     * @return the authority
     */
    public LeadAuthority authority(MonotonicTime now) {
        if (isLead(now)) {
            return LeadAuthority.LEASED;
        }
        return candidate && storeFails && !isHeldElsewhere(now) ? LeadAuthority.ACTING : LeadAuthority.NONE;
    }

    private boolean isHeldElsewhere(MonotonicTime now) {
        boolean own =
                seen == null || seen.row.filter(r -> r.holder().equals(self)).isPresent();
        return !own && !isFree(now);
    }

    /**
     * Gives the fencing number of the lease.
     *
     * @return the last term held, 0 before the first
     */
    public long term() {
        return term;
    }
}
