package org.lycheetray.edge.store;

import java.time.Duration;
import java.util.List;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.VmName;
import reactor.core.publisher.Mono;

/**
 * Client of the external store that holds configurations, backend server entries and VM records.
 *
 * <p>All methods are lazy: each subscription sends one call. Failures are signalled as {@link StoreException}.
 */
public interface FleetStore extends AutoCloseable {
    /**
     * Reads all records of a topic.
     *
     * @param topic the topic
     * @return a consistent snapshot of the records
     */
    Mono<RecordBatch> readAll(Topic topic);

    /**
     * Reads the changes of a topic, waiting for the first one by a long poll.
     *
     * @param topic the topic
     * @param after version up to which the changes are already known
     * @param wait longest time that the store holds the call if nothing changes
     * @return the changes in order; empty if nothing changed in this time
     */
    Mono<RecordBatch> awaitChanges(Topic topic, long after, Duration wait);

    /**
     * Reads the records of all registered entry VMs.
     *
     * @return the VMs
     */
    Mono<List<FleetMember>> readMembers();

    /**
     * Writes the record of an entry VM, replacing that of an earlier incarnation.
     *
     * @param member the VM with its current incarnation
     * @return completes when the record is stored
     */
    Mono<Void> registerMember(FleetMember member);

    /**
     * Removes the record of an entry VM that leaves.
     *
     * @param vm name of the VM
     * @return completes when the record is removed
     */
    Mono<Void> removeMember(VmName vm);

    @Override
    void close();
}
