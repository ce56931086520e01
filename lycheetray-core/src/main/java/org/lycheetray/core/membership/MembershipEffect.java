package org.lycheetray.core.membership;

import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.VmName;

/** What the membership asks its surroundings to do. */
public sealed interface MembershipEffect {
    /**
     * Send a heartbeat; may be lost.
     *
     * @param to the receiver
     * @param heartbeat the message
     */
    record SendHeartbeat(VmName to, Heartbeat heartbeat) implements MembershipEffect {}

    /**
     * Send views; may be lost.
     *
     * @param to the receiver
     * @param views the views
     */
    record SendViews(VmName to, List<DataCentreView> views) implements MembershipEffect {}

    /**
     * Send the versions known here, so that the receiver answers with newer views; may be lost.
     *
     * @param to the receiver
     * @param versions the versions
     */
    record SendVersions(VmName to, List<ViewVersion> versions) implements MembershipEffect {}

    /**
     * Replace the connection to a silent VM by a new one.
     *
     * @param vm the VM
     */
    record Redial(VmName vm) implements MembershipEffect {}

    /**
     * A VM of this data centre has a new state.
     *
     * @param member the VM's process and state
     */
    record StateChanged(Member member) implements MembershipEffect {}

    /**
     * Another data centre became reachable or unreachable.
     *
     * @param dataCentre the data centre
     * @param reachable true if its lead is heard again
     */
    record ReachChanged(DataCentreName dataCentre, boolean reachable) implements MembershipEffect {}
}
