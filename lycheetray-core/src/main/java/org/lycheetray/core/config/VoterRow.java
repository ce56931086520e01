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
 * @param voters the registered processes, at most one for each VM
 */
public record VoterRow(List<Voter> voters) {
    /** The row without voters. */
    public static final VoterRow EMPTY = new VoterRow(List.of());

    /** Copies the list. */
    public VoterRow {
        voters = List.copyOf(voters);
    }

    /**
     * Returns a row with a process added, which replaces an earlier process of the same VM.
     *
     * @param incarnation incarnation of the process
     * @param at wall-clock time of the registration
     * @return the changed row
     */
    public VoterRow withVoter(Incarnation incarnation, Instant at) {
        List<Voter> changed = new ArrayList<>(withoutVms(v -> v.equals(incarnation.vm())).voters);
        changed.add(new Voter(incarnation, at));
        return new VoterRow(changed);
    }

    /**
     * Returns a row without some VMs.
     *
     * @param removed returns whether a VM is to be removed
     * @return the changed row
     */
    public VoterRow withoutVms(Predicate<VmName> removed) {
        return new VoterRow(
                voters.stream().filter(v -> !removed.test(v.incarnation().vm())).toList());
    }

    /**
     * Returns whether a process is registered.
     *
     * @param incarnation incarnation of the process
     * @return true if this incarnation is registered
     */
    public boolean contains(Incarnation incarnation) {
        return voters.stream().anyMatch(v -> v.incarnation().equals(incarnation));
    }
}
