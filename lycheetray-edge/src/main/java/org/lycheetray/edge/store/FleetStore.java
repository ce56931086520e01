package org.lycheetray.edge.store;

import java.time.Duration;
import java.util.List;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.VmName;
import reactor.core.publisher.Mono;

/**
 * The store that outlives every VM.
 *
 * <p>Nothing is sent before subscription, every subscription sends once, and failures arrive as {@link StoreException}.
 */
public interface FleetStore extends AutoCloseable {
    /**
     * Reads all records of a kind.
     *
     * @param topic the kind
     * @return the records as of one moment
     */
    Mono<Reading> list(Topic topic);

    /**
     * Waits for changes of a kind.
     *
     * @param topic the kind
     * @param after version up to which everything is known
     * @param wait longest time to wait if nothing changes
     * @return the changes in order, maybe none
     */
    Mono<Reading> changes(Topic topic, long after, Duration wait);

    /**
     * Reads the records of entry VMs.
     *
     * @return all that have announced themselves and not withdrawn
     */
    Mono<List<FleetMember>> members();

    /**
     * Records an entry VM.
     *
     * @param member the VM's present life
     * @return completes when the store has it
     */
    Mono<Void> announce(FleetMember member);

    /**
     * Removes the record of an entry VM that leaves.
     *
     * @param vm the VM
     * @return completes when the store has removed it
     */
    Mono<Void> withdraw(VmName vm);

    @Override
    void close();
}
