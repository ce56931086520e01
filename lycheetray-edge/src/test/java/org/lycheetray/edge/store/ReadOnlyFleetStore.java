package org.lycheetray.edge.store;

import java.util.List;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.model.VmName;
import reactor.core.publisher.Mono;

/** Fleet store of tests that use no VM records. */
interface ReadOnlyFleetStore extends FleetStore {
    @Override
    default Mono<List<FleetMember>> readMembers() {
        return Mono.just(List.of());
    }

    @Override
    default Mono<Void> registerMember(FleetMember member) {
        return Mono.empty();
    }

    @Override
    default Mono<Void> removeMember(VmName vm) {
        return Mono.empty();
    }

    @Override
    default void close() {}
}
