package org.lycheetray.core.slots;

import java.util.Collection;
import java.util.Optional;
import org.lycheetray.core.membership.Member;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.ServiceName;

/** Chooses which VM of a data centre owns a service's slots. */
public final class OwnerChoice {
    private OwnerChoice() {}

    /**
     * Chooses the owner. A suspect VM stays owner until it is dead, since a move costs every holder a report.
     *
     * @param service the service
     * @param dataCentre the data centre
     * @param members members of the data centre
     * @return the owner, empty if no VM can own slots
     */
    public static Optional<Incarnation> owner(
            ServiceName service, DataCentreName dataCentre, Collection<Member> members) {
        var able = members.stream()
                .filter(m -> m.state() == MemberState.LIVE || m.state() == MemberState.SUSPECT)
                .map(Member::incarnation)
                .toList();
        var vms = able.stream().map(Incarnation::vm).toList();
        return RendezvousHash.rank(service + "/" + dataCentre, vms).stream()
                .findFirst()
                .flatMap(v -> able.stream().filter(i -> i.vm().equals(v)).findFirst());
    }
}
