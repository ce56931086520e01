package org.lycheetray.edge.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.core.fleet.FleetView;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.exchange.TrafficSteering;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.FleetStore;
import org.lycheetray.edge.store.StoreFollower;
import reactor.core.publisher.Mono;

/**
 * Registers the local VM in the store and discovers the other VMs.
 *
 * <p>Reads the VM records, writes the local record and reads again, so that of two VMs that start at the same time at
 * least one sees the other; its reports then make it known to the other. Not thread-safe: use only on the event loop.
 */
public final class FleetRegistration {
    private static final Duration CALL_TIMEOUT = Duration.ofMillis(1_500);
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    /**
     * Interval at which the local record is written again and the others are read. VMs that were cut off from this one for
     * longer than {@link FleetView#LOST_RETENTION} have removed its record, and learn of it from the new one.
     */
    private static final Duration RECORD_REFRESH = Duration.ofMinutes(30);

    private final Transport transport;
    private final FleetStore store;
    private final FleetView view;
    private final TrafficSteering steering;
    private final StoreFollower follower;
    private final BooleanSupplier serving;
    private final Clock clock;
    private Optional<FleetMember> localVm = Optional.empty();
    private Optional<ReportChannel> reportChannel = Optional.empty();
    private Optional<MonotonicTime> registeredAt = Optional.empty();
    private boolean leaving;

    /**
     * Creates a registration; call {@link #start} to begin it.
     *
     * @param transport provides the event loop and the report socket
     * @param store store of the VM records
     * @param view receives the other VMs
     * @param steering receives the number of VMs and their admitted totals
     * @param follower receives the store versions that other VMs have reached
     * @param serving returns true if look-ups may return the local VM
     * @param clock source of wall-clock and monotonic time
     */
    public FleetRegistration(
            Transport transport,
            FleetStore store,
            FleetView view,
            TrafficSteering steering,
            StoreFollower follower,
            BooleanSupplier serving,
            Clock clock) {
        this.transport = transport;
        this.store = store;
        this.view = view;
        this.steering = steering;
        this.follower = follower;
        this.serving = serving;
        this.clock = clock;
    }

    /**
     * Starts the registration. Each failed step is retried until it succeeds.
     *
     * @param settings settings of the local VM
     */
    public void start(EdgeSettings settings) {
        call(
                "read-members",
                store.readMembers(),
                members -> {
                    long lastIncarnation = members.stream()
                            .filter(m -> m.vm().equals(settings.vm()))
                            .mapToLong(FleetMember::incarnation)
                            .max()
                            .orElse(0);
                    long incarnation =
                            Math.max(lastIncarnation + 1, clock.instant().toEpochMilli());
                    FleetMember member = new FleetMember(
                            settings.vm(),
                            incarnation,
                            settings.dataCentre(),
                            settings.callerEndpoint(),
                            settings.reportEndpoint());
                    localVm = Optional.of(member);
                    ReportChannel r = new ReportChannel(transport, member, view, steering, follower, serving, clock);
                    reportChannel = Optional.of(r);
                    updateMembers(members);
                    LogEvent.of("enrolled")
                            .with("incarnation", incarnation)
                            .with("vms", members.size())
                            .info();
                    register(member);
                },
                () -> start(settings));
    }

    private void register(FleetMember member) {
        registeredAt = Optional.of(clock.monotonic());
        call("announce", store.registerMember(member).thenReturn(member), m -> rereadMembers(), () -> register(member));
    }

    private void rereadMembers() {
        call(
                "read-members-again",
                store.readMembers(),
                members -> {
                    view.recordAllRead();
                    updateMembers(members);
                },
                this::rereadMembers);
    }

    private void updateMembers(List<FleetMember> members) {
        view.addRecordedVms(members, clock.monotonic());
        reportChannel.ifPresent(ReportChannel::updateMembers);
        sendReport();
    }

    private <T> void call(String step, Mono<T> mono, Consumer<T> then, Runnable onFailure) {
        mono.timeout(CALL_TIMEOUT).subscribe(v -> transport.eventLoop().execute(() -> then.accept(v)), e -> {
            LogEvent.of("enrolment-failed").with("step", step).with("cause", e).warn();
            var _ = transport.eventLoop().schedule(onFailure, RETRY_PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    /**
     * Returns the local VM with its current incarnation.
     *
     * @return the local VM, or empty until its incarnation is determined
     */
    public Optional<FleetMember> localVm() {
        return localVm;
    }

    /** Sends a report to the other VMs. */
    public void sendReport() {
        reportChannel.ifPresent(ReportChannel::send);
    }

    /** Removes VMs that have left from the view, updates what is known of the fleet, and refreshes the local record. */
    public void removeExpired() {
        MonotonicTime now = clock.monotonic();
        int sizeBefore = view.size();
        int sharersBefore = view.sharerCount();
        view.removeExpired(now);
        view.removeForgotten(now).forEach(this::removeRecord);
        if (!leaving
                && registeredAt
                        .filter(t -> now.since(t).compareTo(RECORD_REFRESH) > 0)
                        .isPresent()) {
            localVm.ifPresent(this::register);
        }
        if (view.size() != sizeBefore || view.sharerCount() != sharersBefore) {
            reportChannel.ifPresent(ReportChannel::updateMembers);
        }
        reportChannel.ifPresent(ReportChannel::updateKnowledge);
    }

    private void removeRecord(FleetMember m) {
        LogEvent.of("vm-forgotten")
                .with("vm", m.vm())
                .with("incarnation", m.incarnation())
                .info();
        call("remove-record", store.removeMember(m.vm()).thenReturn(m), x -> {}, () -> {});
    }

    /**
     * Repeats the last write of the local VM, which a store that was restored from an older copy may have lost, and reads
     * the records of the other VMs.
     */
    public void onStoreRestored() {
        LogEvent.of("enrolment-repeated").with("leaving", leaving).info();
        if (leaving) {
            withdraw();
        } else {
            localVm.ifPresent(this::register);
        }
    }

    /** Reports to the other VMs that the local VM is leaving, and removes its record from the store. */
    public void leave() {
        leaving = true;
        sendReport();
        withdraw();
    }

    private void withdraw() {
        localVm.ifPresent(m -> call("withdraw", store.removeMember(m.vm()).thenReturn(m), x -> {}, () -> {}));
    }
}
