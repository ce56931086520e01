package org.lycheetray.daemon.steering.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.lycheetray.core.membership.DataCentreView;
import org.lycheetray.core.membership.Heartbeat;
import org.lycheetray.core.membership.Member;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.membership.ViewVersion;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.HeldGrant;
import org.lycheetray.core.slots.SlotDecision;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.core.slots.SlotRequest;
import org.lycheetray.core.slots.SlotRequestId;
import org.lycheetray.core.slots.SlotRequestMode;
import org.lycheetray.protocol.generated.HeartbeatNews;
import org.lycheetray.protocol.generated.HeldSlot;
import org.lycheetray.protocol.generated.Holdings;
import org.lycheetray.protocol.generated.MemberInfo;
import org.lycheetray.protocol.generated.SlotAnswer;
import org.lycheetray.protocol.generated.SlotQuestion;
import org.lycheetray.protocol.generated.VersionsNews;
import org.lycheetray.protocol.generated.ViewInfo;
import org.lycheetray.protocol.generated.ViewsNews;

/** Converts between core types and messages of the peer network. */
public final class SteeringMessageCodec {
    private SteeringMessageCodec() {}

    /**
     * Converts a heartbeat to its message.
     *
     * @param h the heartbeat
     * @return the message
     */
    public static HeartbeatNews toMessage(Heartbeat h) {
        List<String> unreachable = new ArrayList<>();
        h.unreachable().forEach(d -> unreachable.add(d.value()));
        return new HeartbeatNews(h.leaving(), h.leadTerm(), h.viewsDigest(), unreachable);
    }

    /**
     * Converts a message to a heartbeat.
     *
     * @param from incarnation of the sender
     * @param m the message
     * @return the heartbeat
     */
    public static Heartbeat toHeartbeat(Incarnation from, HeartbeatNews m) {
        Set<DataCentreName> unreachable =
                m.getUnreachable().stream().map(DataCentreName::new).collect(Collectors.toSet());
        return new Heartbeat(from, m.isLeaving(), m.getLeadTerm(), m.getViewsDigest(), unreachable);
    }

    /**
     * Converts views of data centres to their message.
     *
     * @param views the views
     * @return the message
     */
    public static ViewsNews toMessage(Collection<DataCentreView> views) {
        List<ViewInfo> infos = new ArrayList<>();
        for (DataCentreView v : views) {
            List<MemberInfo> members = new ArrayList<>();
            v.members()
                    .forEach(m -> members.add(new MemberInfo(
                            m.incarnation().vm().value(),
                            m.incarnation().number(),
                            m.state().name())));
            infos.add(new ViewInfo(
                    v.dataCentre().value(),
                    v.version(),
                    v.author().vm().value(),
                    v.author().number(),
                    members));
        }
        return new ViewsNews(infos);
    }

    /**
     * Converts a message to views of data centres.
     *
     * @param m the message
     * @return the views
     */
    public static List<DataCentreView> toViews(ViewsNews m) {
        return m.getViews().stream().map(SteeringMessageCodec::toView).toList();
    }

    private static DataCentreView toView(ViewInfo i) {
        List<Member> members = i.getMembers().stream()
                .map(x -> new Member(
                        new Incarnation(new VmName(x.getVm()), x.getIncarnation()), MemberState.valueOf(x.getState())))
                .toList();
        Incarnation author = new Incarnation(new VmName(i.getAuthorVm()), i.getAuthorIncarnation());
        return new DataCentreView(new DataCentreName(i.getDataCentre()), i.getVersion(), author, members);
    }

    /**
     * Converts versions of views to their message.
     *
     * @param versions the versions
     * @return the message
     */
    public static VersionsNews toVersionsMessage(Collection<ViewVersion> versions) {
        Map<String, Long> map = new HashMap<>();
        versions.forEach(v -> map.put(v.dataCentre().value(), v.version()));
        return new VersionsNews(map);
    }

    /**
     * Converts a message to versions of views.
     *
     * @param m the message
     * @return the versions
     */
    public static List<ViewVersion> toViewVersions(VersionsNews m) {
        return m.getVersions().entrySet().stream()
                .map(e -> new ViewVersion(new DataCentreName(e.getKey()), e.getValue()))
                .toList();
    }

    /**
     * Converts a slot request to its message.
     *
     * @param service service that the slot is for
     * @param slotRequest the request
     * @return the message
     */
    public static SlotQuestion toMessage(ServiceName service, SlotRequest slotRequest) {
        List<String> avoid = new ArrayList<>();
        slotRequest.avoid().forEach(s -> avoid.add(s.value()));
        return new SlotQuestion(
                slotRequest.id().number(),
                service.value(),
                slotRequest.account().value(),
                slotRequest.weight(),
                slotRequest.timeLeft().toMillis(),
                slotRequest.mode().name(),
                avoid);
    }

    /**
     * Converts a message to a slot request.
     *
     * @param from incarnation of the requesting VM
     * @param m the message
     * @return the request
     */
    public static SlotRequest toSlotRequest(Incarnation from, SlotQuestion m) {
        return new SlotRequest(
                new SlotRequestId(from, m.getNumber()),
                new ClientAccountName(m.getAccount()),
                m.getWeight(),
                Duration.ofMillis(m.getTimeLeftMillis()),
                SlotRequestMode.valueOf(m.getMode()),
                m.getAvoid().stream().map(BackendServerName::new).collect(Collectors.toSet()));
    }

    /**
     * Converts the decision on a slot request to its message.
     *
     * @param decision the decision
     * @return the message
     */
    public static SlotAnswer toMessage(SlotDecision decision) {
        return switch (decision) {
            case SlotDecision.Granted g -> {
                SlotAnswer a = toLoadMessage(g.load());
                a.setServer(g.server().name().value());
                a.setValidityMillis(g.validity().toMillis());
                a.setGeneration(g.generation().number());
                yield a;
            }
            case SlotDecision.Refused r -> {
                SlotAnswer a = toLoadMessage(r.load());
                a.setRefusal(r.reason().name());
                yield a;
            }
        };
    }

    /**
     * Converts a load to a message without a decision.
     *
     * @param load the load
     * @return the message
     */
    public static SlotAnswer toLoadMessage(SlotLoad load) {
        SlotAnswer a = new SlotAnswer();
        a.setSlots(load.slots());
        a.setInFlight(load.inFlight());
        a.setWaiting(load.waiting());
        return a;
    }

    /**
     * Returns the load in a message.
     *
     * @param a the message
     * @return the load
     */
    public static SlotLoad toLoad(SlotAnswer a) {
        return new SlotLoad(a.getSlots(), a.getInFlight(), a.getWaiting());
    }

    /**
     * Converts held grants to their message.
     *
     * @param held the grants
     * @return the message
     */
    public static Holdings toHoldingsMessage(Collection<HeldGrant> held) {
        List<HeldSlot> slots = new ArrayList<>();
        held.forEach(h -> slots.add(
                new HeldSlot(h.id().number(), h.server().value(), h.timeLeft().toMillis())));
        Holdings h = new Holdings();
        h.setHeld(slots);
        return h;
    }

    /**
     * Converts a message to held grants.
     *
     * <p>Adds 1 ms to the time left, because the message rounds it down to milliseconds.
     *
     * @param from incarnation of the holder
     * @param m the message
     * @return the grants
     */
    public static List<HeldGrant> toHeldGrants(Incarnation from, Holdings m) {
        return m.getHeld().stream()
                .map(h -> new HeldGrant(
                        new SlotRequestId(from, h.getNumber()),
                        new BackendServerName(h.getServer()),
                        Duration.ofMillis(h.getTimeLeftMillis() + 1)))
                .toList();
    }
}
