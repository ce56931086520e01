package org.lycheetray.core.config;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;

/**
 * What a data centre's lead read for one round of its work.
 *
 * @param head the row {@code config/head}
 * @param voters the row of its own data centre's voters, empty if there is none
 * @param acks all acknowledgements
 * @param listing VMs that the platform knows, empty if that could not be read
 */
public record ConfigTable(Row head, Optional<Row> voters, List<Row> acks, Optional<Listing> listing) {
    /** Copies the list. */
    public ConfigTable {
        acks = List.copyOf(acks);
    }

    /**
     * The platform's lagging list.
     *
     * @param asOf when it was made
     * @param vms live and leaving VMs
     */
    public record Listing(Instant asOf, Set<VmName> vms) {
        /** Copies the set. */
        public Listing {
            vms = Set.copyOf(vms);
        }
    }
}
