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
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.edge.Transport;
import org.lycheetray.edge.exchange.Steering;
import org.lycheetray.edge.settings.EdgeSettings;
import org.lycheetray.edge.store.FleetStore;
import org.lycheetray.edge.store.StoreFollower;
import reactor.core.publisher.Mono;

/**
 * Makes this VM known to the others and the others to it.
 *
 * <p>It reads the VMs' records, writes its own and reads once more, so that of two VMs that start together at least one
 * sees the other; that one's reports do the rest. For the event loop.
 */
public final class Enrolment {
    private static final Duration CALL_LIMIT = Duration.ofMillis(1_500);
    private static final Duration PAUSE = Duration.ofMillis(500);

    private final Transport transport;
    private final FleetStore store;
    private final FleetView view;
    private final Steering steering;
    private final StoreFollower follower;
    private final BooleanSupplier serving;
    private final Clock clock;
    private Optional<FleetMember> self = Optional.empty();
    private Optional<Reports> reports = Optional.empty();

    /**
     * Creates an enrolment; {@link #start} begins.
     *
     * @param transport the event loop
     * @param store holds the VMs' records
     * @param view takes the other VMs
     * @param steering is told how many VMs there are
     * @param follower learns whether other VMs are ahead
     * @param serving true if look-ups may name this VM
     * @param clock the clock
     */
    public Enrolment(
            Transport transport,
            FleetStore store,
            FleetView view,
            Steering steering,
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
     * Begins.
     *
     * @param settings settings of this VM
     */
    public void start(EdgeSettings settings) {
        call(
                "read-members",
                store.members(),
                members -> {
                    long before = members.stream()
                            .filter(m -> m.vm().equals(settings.vm()))
                            .mapToLong(FleetMember::incarnation)
                            .max()
                            .orElse(0);
                    long incarnation = Math.max(before + 1, clock.instant().toEpochMilli());
                    FleetMember me = new FleetMember(
                            settings.vm(), incarnation, settings.dataCentre(), settings.callers(), settings.reports());
                    self = Optional.of(me);
                    Reports r = new Reports(transport, me, view, steering, follower, serving, clock);
                    reports = Optional.of(r);
                    recorded(members);
                    LogEvent.of("enrolled")
                            .with("incarnation", incarnation)
                            .with("vms", members.size())
                            .info();
                    announce(me);
                },
                () -> start(settings));
    }

    private void announce(FleetMember me) {
        call("announce", store.announce(me).thenReturn(me), m -> readAgain(), () -> announce(me));
    }

    private void readAgain() {
        call("read-members-again", store.members(), this::recorded, this::readAgain);
    }

    private void recorded(List<FleetMember> members) {
        view.addRecordedVms(members, clock.monotonic());
        reports.ifPresent(Reports::membersChanged);
        report();
    }

    private <T> void call(String step, Mono<T> mono, Consumer<T> then, Runnable onFailure) {
        mono.timeout(CALL_LIMIT).subscribe(v -> transport.loop().execute(() -> then.accept(v)), e -> {
            LogEvent.of("enrolment-failed").with("step", step).with("cause", e).warn();
            var _ = transport.loop().schedule(onFailure, PAUSE.toMillis(), TimeUnit.MILLISECONDS);
        });
    }

    /**
     * This life of this VM.
     *
     * @return the member, or empty until it is known
     */
    public Optional<FleetMember> self() {
        return self;
    }

    /** Tells the other VMs how this one is. */
    public void report() {
        reports.ifPresent(Reports::send);
    }

    /** Forgets VMs that have left. */
    public void expire() {
        int before = view.size();
        view.removeExpired(clock.monotonic());
        if (view.size() != before) {
            reports.ifPresent(Reports::membersChanged);
        }
    }

    /** Tells the other VMs that this one leaves, and removes its record. */
    public void leave() {
        report();
        self.ifPresent(m -> call("withdraw", store.withdraw(m.vm()).thenReturn(m), x -> {}, () -> {}));
    }
}
