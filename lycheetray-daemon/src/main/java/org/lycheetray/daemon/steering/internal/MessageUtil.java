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

/** Converts between decisions and messages. */
public final class MessageUtil {
    private MessageUtil() {}

    /**
     * Converts a heartbeat.
     *
     * @param h the heartbeat
     * @return its message
     */
    public static HeartbeatNews toMessage(Heartbeat h) {
        List<String> unreachable = new ArrayList<>();
        h.unreachable().forEach(d -> unreachable.add(d.value()));
        return new HeartbeatNews(h.leaving(), h.leadTerm(), h.viewsDigest(), unreachable);
    }

    /**
     * Converts a heartbeat.
     *
     * @param from the sender
     * @param m the message
     * @return the heartbeat
     */
    public static Heartbeat heartbeat(Incarnation from, HeartbeatNews m) {
        Set<DataCentreName> unreachable =
                m.getUnreachable().stream().map(DataCentreName::new).collect(Collectors.toSet());
        return new Heartbeat(from, m.isLeaving(), m.getLeadTerm(), m.getViewsDigest(), unreachable);
    }

    /**
     * Converts views.
     *
     * @param views the views
     * @return their message
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
     * Converts views.
     *
     * @param m the message
     * @return the views
     */
    public static List<DataCentreView> views(ViewsNews m) {
        return m.getViews().stream().map(MessageUtil::view).toList();
    }

    private static DataCentreView view(ViewInfo i) {
        List<Member> members = i.getMembers().stream()
                .map(x -> new Member(
                        new Incarnation(new VmName(x.getVm()), x.getIncarnation()), MemberState.valueOf(x.getState())))
                .toList();
        Incarnation author = new Incarnation(new VmName(i.getAuthorVm()), i.getAuthorIncarnation());
        return new DataCentreView(new DataCentreName(i.getDataCentre()), i.getVersion(), author, members);
    }

    /**
     * Converts versions.
     *
     * @param versions the versions
     * @return their message
     */
    public static VersionsNews toVersions(Collection<ViewVersion> versions) {
        Map<String, Long> map = new HashMap<>();
        versions.forEach(v -> map.put(v.dataCentre().value(), v.version()));
        return new VersionsNews(map);
    }

    /**
     * Converts versions.
     *
     * @param m the message
     * @return the versions
     */
    public static List<ViewVersion> versions(VersionsNews m) {
        return m.getVersions().entrySet().stream()
                .map(e -> new ViewVersion(new DataCentreName(e.getKey()), e.getValue()))
                .toList();
    }

    /**
     * Converts an ask.
     *
     * @param service the service
     * @param ask the ask
     * @return its message
     */
    public static SlotQuestion toMessage(ServiceName service, SlotRequest ask) {
        List<String> avoid = new ArrayList<>();
        ask.avoid().forEach(s -> avoid.add(s.value()));
        return new SlotQuestion(
                ask.id().number(),
                service.value(),
                ask.account().value(),
                ask.weight(),
                ask.timeLeft().toMillis(),
                ask.mode().name(),
                avoid);
    }

    /**
     * Converts an ask.
     *
     * @param from the asker
     * @param m the message
     * @return the ask
     */
    public static SlotRequest ask(Incarnation from, SlotQuestion m) {
        return new SlotRequest(
                new SlotRequestId(from, m.getNumber()),
                new ClientAccountName(m.getAccount()),
                m.getWeight(),
                Duration.ofMillis(m.getTimeLeftMillis()),
                SlotRequestMode.valueOf(m.getMode()),
                m.getAvoid().stream().map(BackendServerName::new).collect(Collectors.toSet()));
    }

    /**
     * Converts an answer.
     *
     * @param e the answer
     * @return its message
     */
    public static SlotAnswer toMessage(SlotDecision e) {
        return switch (e) {
            case SlotDecision.Granted g -> {
                SlotAnswer a = withLoad(g.load());
                a.setServer(g.server().name().value());
                a.setValidityMillis(g.validity().toMillis());
                a.setGeneration(g.generation().number());
                yield a;
            }
            case SlotDecision.Refused r -> {
                SlotAnswer a = withLoad(r.load());
                a.setRefusal(r.reason().name());
                yield a;
            }
        };
    }

    /**
     * Converts a load.
     *
     * @param load the load
     * @return an answer with the load alone
     */
    public static SlotAnswer withLoad(SlotLoad load) {
        SlotAnswer a = new SlotAnswer();
        a.setSlots(load.slots());
        a.setInFlight(load.inFlight());
        a.setWaiting(load.waiting());
        return a;
    }

    /**
     * Converts a load.
     *
     * @param a an answer
     * @return the load in it
     */
    public static SlotLoad load(SlotAnswer a) {
        return new SlotLoad(a.getSlots(), a.getInFlight(), a.getWaiting());
    }

    /**
     * Converts a report of grants.
     *
     * @param held the grants
     * @return their message
     */
    public static Holdings toHoldings(Collection<HeldGrant> held) {
        List<HeldSlot> slots = new ArrayList<>();
        held.forEach(h -> slots.add(
                new HeldSlot(h.id().number(), h.server().value(), h.timeLeft().toMillis())));
        Holdings h = new Holdings();
        h.setHeld(slots);
        return h;
    }

    /**
     * Converts a report of grants.
     *
     * @param from the holder
     * @param m the message
     * @return the grants
     */
    public static List<HeldGrant> held(Incarnation from, Holdings m) {
        return m.getHeld().stream()
                .map(h -> new HeldGrant(
                        new SlotRequestId(from, h.getNumber()),
                        new BackendServerName(h.getServer()),
                        Duration.ofMillis(h.getTimeLeftMillis() + 1)))
                .toList();
    }
}
