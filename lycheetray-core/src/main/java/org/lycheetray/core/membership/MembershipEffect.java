package org.lycheetray.core.membership;

import java.util.List;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.VmName;

/** Action that the caller of a {@link Membership} must perform. */
public sealed interface MembershipEffect {
    /**
     * Send a heartbeat, without a delivery guarantee.
     *
     * @param to the receiver
     * @param heartbeat the message
     */
    record SendHeartbeat(VmName to, Heartbeat heartbeat) implements MembershipEffect {}

    /**
     * Send views, without a delivery guarantee.
     *
     * @param to the receiver
     * @param views the views
     */
    record SendViews(VmName to, List<DataCentreView> views) implements MembershipEffect {}

    /**
     * Send the known view versions, so that the receiver replies with newer views; no delivery guarantee.
     *
     * @param to the receiver
     * @param versions the versions
     */
    record SendVersions(VmName to, List<ViewVersion> versions) implements MembershipEffect {}

    /**
     * Replace the connection to a silent VM.
     *
     * @param vm the VM
     */
    record Reconnect(VmName vm) implements MembershipEffect {}

    /**
     * The state of a VM of this data centre changed.
     *
     * @param member the VM's incarnation and its new state
     */
    record StateChanged(Member member) implements MembershipEffect {}

    /**
     * Another data centre became reachable or unreachable.
     *
     * @param dataCentre the data centre
     * @param reachable true if it became reachable
     */
    record ReachabilityChanged(DataCentreName dataCentre, boolean reachable) implements MembershipEffect {}
}
