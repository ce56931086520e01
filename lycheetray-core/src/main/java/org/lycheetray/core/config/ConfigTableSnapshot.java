package org.lycheetray.core.config;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;

/**
 * The configuration rows and the VM list that the leader of a data centre read for one round.
 *
 * @param head the row {@code config/head}
 * @param voters the voter row of the data centre, empty if there is none
 * @param acks the acknowledgement rows of all data centres
 * @param listing the platform's VM list, empty if it was not read
 */
public record ConfigTableSnapshot(Row head, Optional<Row> voters, List<Row> acks, Optional<Listing> listing) {
    /** Copies the list. */
    public ConfigTableSnapshot {
        acks = List.copyOf(acks);
    }

    /**
     * The platform's VM list, which may lag behind the actual state.
     *
     * @param asOf wall-clock time at which the list was current
     * @param vms live and leaving VMs
     */
    public record Listing(Instant asOf, Set<VmName> vms) {
        /** Copies the set. */
        public Listing {
            vms = Set.copyOf(vms);
        }
    }
}
