package org.lycheetray.daemon.steering;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.health.UsableServer;
import org.lycheetray.core.membership.MemberState;
import org.lycheetray.core.membership.Membership;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.slots.HeldGrant;
import org.lycheetray.core.slots.OwnerGeneration;
import org.lycheetray.core.slots.SlotDecision;
import org.lycheetray.core.slots.SlotLoad;
import org.lycheetray.core.slots.SlotOwner;
import org.lycheetray.core.slots.SlotOwnerSelection;
import org.lycheetray.core.slots.SlotOwnerSettings;
import org.lycheetray.core.slots.SlotRefusal;
import org.lycheetray.core.slots.SlotRequest;
import org.lycheetray.core.slots.SlotRequestId;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.running.ServerHealth;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/** The slots that this VM owns; for the control thread. */
final class SlotOwners {
    private final Clock clock;
    private final ServerHealth health;
    private final Map<ServiceName, SlotOwner> owners = new HashMap<>();
    private final Map<ServiceName, Long> laterThan = new HashMap<>();
    private final Map<SlotRequestId, Waiting> waiting = new HashMap<>();

    private record Waiting(ServiceName service, MonoSink<SlotDecision> sink) {}

    SlotOwners(Clock clock, ServerHealth health) {
        this.clock = clock;
        this.health = health;
    }

    /** An owner that still has to learn what a VM holds. */
    record ReportDue(ServiceName service, OwnerGeneration generation, VmName holder) {}

    List<ReportDue> refresh(ActiveConfig config, Membership membership) {
        MonotonicTime now = clock.monotonic();
        List<ReportDue> due = new ArrayList<>();
        for (Service s : config.manifest().services()) {
            boolean own = membership.isSuspicionTimeoutElapsed()
                    && SlotOwnerSelection.select(
                                    s.name(),
                                    membership.localDataCentre(),
                                    membership.members(membership.localDataCentre()))
                            .filter(membership.localIncarnation()::equals)
                            .isPresent();
            if (!own) {
                giveUp(s.name());
                continue;
            }
            SlotOwner owner = owners.computeIfAbsent(s.name(), n -> create(s, config, membership, now));
            answer(owner.updateServers(usable(s.name(), config, membership), now));
            owner.pendingReports().forEach(v -> due.add(new ReportDue(s.name(), owner.generation(), v)));
        }
        return due;
    }

    private SlotOwner create(Service s, ActiveConfig config, Membership membership, MonotonicTime now) {
        Set<VmName> holders = new HashSet<>();
        config.manifest().vms().stream()
                .map(Vm::name)
                .filter(v -> membership.state(v) != MemberState.DEAD)
                .forEach(holders::add);
        OwnerGeneration generation = new OwnerGeneration(
                Math.max(clock.instant().toEpochMilli(), laterThan.getOrDefault(s.name(), 0L) + 1),
                membership.localIncarnation());
        Duration longest = s.timeout();
        return SlotOwner.create(generation, SlotOwnerSettings.ofQueueLimit(s.queueLimit()), holders, longest, now);
    }

    private List<UsableServer> usable(ServiceName service, ActiveConfig config, Membership membership) {
        return config.manifest().backendServers().stream()
                .filter(b -> b.service().equals(service) && b.dataCentre().equals(membership.localDataCentre()))
                .map(BackendServer::name)
                .map(health::usable)
                .flatMap(Optional::stream)
                .toList();
    }

    private void giveUp(ServiceName service) {
        SlotOwner owner = owners.remove(service);
        if (owner != null) {
            List<SlotRequestId> asks = waiting.entrySet().stream()
                    .filter(e -> e.getValue().service().equals(service))
                    .map(Map.Entry::getKey)
                    .toList();
            asks.forEach(id -> answer(List.of(new SlotDecision.Refused(id, SlotRefusal.NOT_OWNER, SlotLoad.NONE))));
        }
    }

    Mono<SlotDecision> ask(ServiceName service, SlotRequest ask) {
        return Mono.create(sink -> {
            SlotOwner owner = owners.get(service);
            if (owner == null) {
                sink.success(new SlotDecision.Refused(ask.id(), SlotRefusal.NOT_OWNER, SlotLoad.NONE));
                return;
            }
            waiting.put(ask.id(), new Waiting(service, sink));
            answer(owner.requestSlot(ask, clock.monotonic()));
        });
    }

    private void answer(Collection<SlotDecision> effects) {
        for (SlotDecision e : effects) {
            Waiting w = waiting.remove(e.id());
            if (w != null) {
                w.sink().success(e);
            }
        }
    }

    void release(ServiceName service, SlotRequestId id) {
        waiting.remove(id);
        SlotOwner owner = owners.get(service);
        if (owner != null) {
            answer(owner.release(id, clock.monotonic()));
        }
    }

    void reported(ReportDue due, Collection<HeldGrant> held) {
        SlotOwner owner = owners.get(due.service());
        if (owner != null && owner.generation().equals(due.generation())) {
            answer(owner.applyReport(due.holder(), held, clock.monotonic()));
        }
    }

    /** Starts anew as a later owner, because another one that still believes to be the owner has a later generation. */
    void outrun(ReportDue due, long laterGeneration) {
        laterThan.merge(due.service(), laterGeneration, Math::max);
        SlotOwner owner = owners.get(due.service());
        if (owner != null && owner.generation().equals(due.generation())) {
            giveUp(due.service());
        }
    }

    void holderDied(Incarnation holder) {
        owners.values().forEach(o -> answer(o.holderDied(holder, clock.monotonic())));
    }

    SlotLoad load(ServiceName service) {
        SlotOwner owner = owners.get(service);
        return owner == null ? SlotLoad.NONE : owner.load();
    }

    Map<ServiceName, SlotOwner> owned() {
        return Map.copyOf(owners);
    }
}
