package org.lycheetray.core.slots;

import java.util.Collection;
import java.util.Optional;
import org.lycheetray.core.membership.Member;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.ServiceName;

/** Selects the VM of a data centre that owns a service's slots. */
public final class SlotOwnerSelection {
    private SlotOwnerSelection() {}

    /**
     * Returns the owner. A suspect VM remains owner until it is dead, because every holder must report its grants to a
     * new owner.
     *
     * @param service the service
     * @param dataCentre the data centre
     * @param members members of the data centre
     * @return the owner, empty if no VM can own slots
     */
    public static Optional<Incarnation> select(
            ServiceName service, DataCentreName dataCentre, Collection<Member> members) {
        var eligible = members.stream()
                .filter(m -> m.state() == MemberState.LIVE || m.state() == MemberState.SUSPECT)
                .map(Member::incarnation)
                .toList();
        var vms = eligible.stream().map(Incarnation::vm).toList();
        return RendezvousHash.rank(service + "/" + dataCentre, vms).stream()
                .findFirst()
                .flatMap(v -> eligible.stream().filter(i -> i.vm().equals(v)).findFirst());
    }
}
