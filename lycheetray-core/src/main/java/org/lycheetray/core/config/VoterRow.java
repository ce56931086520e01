package org.lycheetray.core.config;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

/**
 * Content of the row {@code config/voters/DATACENTRE}.
 *
 * @param voters registered VMs, at most one process for each VM
 */
public record VoterRow(List<Voter> voters) {
    /** A row without voters. */
    public static final VoterRow EMPTY = new VoterRow(List.of());

    /** Copies the list. */
    public VoterRow {
        voters = List.copyOf(voters);
    }

    /**
     * Registers a process in the place of its VM's earlier one.
     *
     * @param incarnation the process
     * @param at wall-clock time
     * @return the changed row
     */
    public VoterRow with(Incarnation incarnation, Instant at) {
        List<Voter> changed = new ArrayList<>(without(v -> v.equals(incarnation.vm())).voters);
        changed.add(new Voter(incarnation, at));
        return new VoterRow(changed);
    }

    /**
     * Removes VMs.
     *
     * @param gone tells which
     * @return the changed row
     */
    public VoterRow without(Predicate<VmName> gone) {
        return new VoterRow(
                voters.stream().filter(v -> !gone.test(v.incarnation().vm())).toList());
    }

    /**
     * Tells whether a process is registered.
     *
     * @param incarnation the process
     * @return true if this very process is
     */
    public boolean contains(Incarnation incarnation) {
        return voters.stream().anyMatch(v -> v.incarnation().equals(incarnation));
    }
}
