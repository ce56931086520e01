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

/**
 * Manages the slot owners on this VM, one per service that it owns in its data centre.
 *
 * <p>Not thread-safe: used on the control thread only.
 */
final class LocalSlotOwners {
    private final Clock clock;
    private final ServerHealth health;
    private final Map<ServiceName, SlotOwner> owners = new HashMap<>();
    private final Map<ServiceName, Long> observedGenerations = new HashMap<>();
    private final Map<SlotRequestId, PendingRequest> pendingRequests = new HashMap<>();

    private record PendingRequest(ServiceName service, MonoSink<SlotDecision> sink) {}

    LocalSlotOwners(Clock clock, ServerHealth health) {
        this.clock = clock;
        this.health = health;
    }

    /** A report of held grants that a new owner still needs from a VM. */
    record PendingReport(ServiceName service, OwnerGeneration generation, VmName holder) {}

    List<PendingReport> refresh(ActiveConfig config, Membership membership) {
        MonotonicTime now = clock.monotonic();
        List<PendingReport> pending = new ArrayList<>();
        for (Service s : config.manifest().services()) {
            boolean owned = membership.isSuspicionTimeoutElapsed()
                    && SlotOwnerSelection.select(
                                    s.name(),
                                    membership.localDataCentre(),
                                    membership.members(membership.localDataCentre()))
                            .filter(membership.localIncarnation()::equals)
                            .isPresent();
            if (!owned) {
                removeOwner(s.name());
                continue;
            }
            SlotOwner owner = owners.computeIfAbsent(s.name(), n -> createOwner(s, config, membership, now));
            deliver(owner.updateServers(usableServers(s.name(), config, membership), now));
            owner.pendingReports().forEach(v -> pending.add(new PendingReport(s.name(), owner.generation(), v)));
        }
        return pending;
    }

    private SlotOwner createOwner(Service s, ActiveConfig config, Membership membership, MonotonicTime now) {
        Set<VmName> holders = new HashSet<>();
        config.manifest().vms().stream()
                .map(Vm::name)
                .filter(v -> membership.state(v) != MemberState.DEAD)
                .forEach(holders::add);
        OwnerGeneration generation = new OwnerGeneration(
                Math.max(clock.instant().toEpochMilli(), observedGenerations.getOrDefault(s.name(), 0L) + 1),
                membership.localIncarnation());
        Duration maxGrantTime = s.timeout();
        return SlotOwner.create(generation, SlotOwnerSettings.ofQueueLimit(s.queueLimit()), holders, maxGrantTime, now);
    }

    private List<UsableServer> usableServers(ServiceName service, ActiveConfig config, Membership membership) {
        return config.manifest().backendServers().stream()
                .filter(b -> b.service().equals(service) && b.dataCentre().equals(membership.localDataCentre()))
                .map(BackendServer::name)
                .map(health::usableServer)
                .flatMap(Optional::stream)
                .toList();
    }

    private void removeOwner(ServiceName service) {
        SlotOwner owner = owners.remove(service);
        if (owner != null) {
            List<SlotRequestId> ids = pendingRequests.entrySet().stream()
                    .filter(e -> e.getValue().service().equals(service))
                    .map(Map.Entry::getKey)
                    .toList();
            ids.forEach(id -> deliver(List.of(new SlotDecision.Refused(id, SlotRefusal.NOT_OWNER, SlotLoad.NONE))));
        }
    }

    Mono<SlotDecision> requestSlot(ServiceName service, SlotRequest slotRequest) {
        return Mono.create(sink -> {
            SlotOwner owner = owners.get(service);
            if (owner == null) {
                sink.success(new SlotDecision.Refused(slotRequest.id(), SlotRefusal.NOT_OWNER, SlotLoad.NONE));
                return;
            }
            pendingRequests.put(slotRequest.id(), new PendingRequest(service, sink));
            deliver(owner.requestSlot(slotRequest, clock.monotonic()));
        });
    }

    private void deliver(Collection<SlotDecision> decisions) {
        for (SlotDecision decision : decisions) {
            PendingRequest pending = pendingRequests.remove(decision.id());
            if (pending != null) {
                pending.sink().success(decision);
            }
        }
    }

    void release(ServiceName service, SlotRequestId id) {
        pendingRequests.remove(id);
        SlotOwner owner = owners.get(service);
        if (owner != null) {
            deliver(owner.release(id, clock.monotonic()));
        }
    }

    void applyReport(PendingReport pending, Collection<HeldGrant> held) {
        SlotOwner owner = owners.get(pending.service());
        if (owner != null && owner.generation().equals(pending.generation())) {
            deliver(owner.applyReport(pending.holder(), held, clock.monotonic()));
        }
    }

    /**
     * Replaces the owner after the holder has reported to an owner of a later generation.
     *
     * <p>The next refresh creates an owner with a generation above that one; the holder would reject grants of an
     * earlier generation.
     */
    void handleLaterGeneration(PendingReport pending, long laterGeneration) {
        observedGenerations.merge(pending.service(), laterGeneration, Math::max);
        SlotOwner owner = owners.get(pending.service());
        if (owner != null && owner.generation().equals(pending.generation())) {
            removeOwner(pending.service());
        }
    }

    void releaseDeadHolder(Incarnation holder) {
        owners.values().forEach(o -> deliver(o.holderDied(holder, clock.monotonic())));
    }

    SlotLoad load(ServiceName service) {
        SlotOwner owner = owners.get(service);
        return owner == null ? SlotLoad.NONE : owner.load();
    }

    Map<ServiceName, SlotOwner> byService() {
        return Map.copyOf(owners);
    }
}
