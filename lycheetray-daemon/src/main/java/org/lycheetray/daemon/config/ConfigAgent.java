package org.lycheetray.daemon.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.lycheetray.core.config.ConfigEffect;
import org.lycheetray.core.config.ConfigEvent;
import org.lycheetray.core.config.ConfigLeaderPlanner;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.ConfigTableSnapshot;
import org.lycheetray.core.config.ConfigTracker;
import org.lycheetray.core.config.EffectiveConfig;
import org.lycheetray.core.config.KeyAcceptance;
import org.lycheetray.core.config.PeerConfigState;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.internal.ConfigPeerExchange;
import org.lycheetray.daemon.config.internal.ConfigPlatformClient;
import org.lycheetray.daemon.config.internal.PeerDirectory;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.settings.Settings;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.config.ConfigClient;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.scheduler.Schedulers;

/**
 * Keeps the configuration of this VM up to date and decides whether it is fresh enough to accept keyed requests.
 *
 * <p>Learns new versions from the platform and from peers, and runs the configuration tasks of the data centre's lead
 * while this VM is the lead. All state lives on the control thread; traffic threads read two volatile fields.
 */
public final class ConfigAgent implements ConfigView, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration IDLE_PERIOD = Duration.ofMillis(500);
    private static final Duration CHANGE_PENDING_PERIOD = Duration.ofMillis(150);
    private static final Duration MAX_CONFIRMATION_AGE = Duration.ofMillis(1_500);
    private static final Duration FETCH_RETRY_DELAY = Duration.ofSeconds(1);
    private static final Duration VM_LISTING_PERIOD = Duration.ofSeconds(10);

    private final ControlThread control;
    private final Clock clock;
    private final ConfigTracker tracker;
    private final ConfigPlatformClient platform;
    private final ConfigPeerExchange peers;
    private final PeerDirectory directory;
    private final PeriodicCall headPolls;
    private final PeriodicCall peerProbes;
    private final PeriodicCall leadRounds;
    private final PeriodicCall registrations;
    private final PeriodicCall vmListings;
    private final Disposable tickTask;
    private boolean registered;
    private volatile ActiveConfig active;
    private volatile Optional<MonotonicTime> confirmedAt = Optional.empty();

    /** Limits a call to one start per period, and to one at a time if its caller sets {@code running}. */
    private static final class PeriodicCall {
        private MonotonicTime nextStart;
        private boolean running;

        PeriodicCall(MonotonicTime firstStart) {
            this.nextStart = firstStart;
        }

        boolean tryStart(MonotonicTime now, Duration period) {
            if (running || now.isBefore(nextStart)) {
                return false;
            }
            nextStart = now.plus(period);
            return true;
        }
    }

    private ConfigAgent(
            Incarnation localIncarnation,
            Settings settings,
            PlatformClient client,
            PeerNetwork network,
            ControlThread control,
            Clock clock) {
        this.control = control;
        this.clock = clock;
        this.tracker = new ConfigTracker(localIncarnation, settings.dataCentre());
        this.platform = new ConfigPlatformClient(client, localIncarnation, settings.dataCentre());
        this.peers = new ConfigPeerExchange(network, control);
        this.directory = new PeerDirectory(localIncarnation.vm(), settings.dataCentre(), settings.seeds());
        MonotonicTime now = clock.monotonic();
        this.headPolls = new PeriodicCall(now);
        this.peerProbes = new PeriodicCall(now);
        this.leadRounds = new PeriodicCall(now);
        this.registrations = new PeriodicCall(now);
        this.vmListings = new PeriodicCall(now);
        peers.registerHandlers(this::answerProbe, tracker::manifest);
        this.tickTask = control.schedulePeriodically("config-tick", TICK, this::tick);
    }

    /**
     * Registers the message handlers and starts the periodic task; must be called before the peer network listens.
     *
     * @param localIncarnation incarnation of this process
     * @param settings data centre and seed addresses
     * @param client client of the platform
     * @param network exchanges messages with peers
     * @param control thread that owns the state
     * @param clock clock of the process
     * @return the running agent
     */
    public static ConfigAgent create(
            Incarnation localIncarnation,
            Settings settings,
            PlatformClient client,
            PeerNetwork network,
            ControlThread control,
            Clock clock) {
        return new ConfigAgent(localIncarnation, settings, client, network, control, clock);
    }

    @Override
    public Optional<ActiveConfig> active() {
        return Optional.ofNullable(active);
    }

    @Override
    public Optional<ClientAccountName> account(KeyHash hash) {
        return active().flatMap(c -> c.account(hash));
    }

    @Override
    public boolean isFreshEnoughFor(RouteClass routeClass) {
        return keyAcceptance().permits(routeClass);
    }

    /**
     * Writes the configuration state to the status page; must be called on the control thread.
     *
     * @param node receives the fields
     */
    public void writeStatus(ObjectNode node) {
        PeerConfigState state = tracker.localState(clock.monotonic());
        node.put("version", state.accepted().map(r -> r.version().number()).orElse(0L));
        node.put("pending", state.pending().map(r -> r.version().toString()).orElse("-"));
        node.put("keyTrust", keyAcceptance().name());
        state.freshnessEvidence()
                .ifPresent(c -> node.put("confirmedAgeMs", c.age().toMillis()));
        node.put("voter", state.isVoter());
        node.put("lead", directory.isLead(clock.monotonic()));
    }

    @Override
    public void close() {
        tickTask.dispose();
    }

    private KeyAcceptance keyAcceptance() {
        ActiveConfig c = active;
        if (c == null) {
            return KeyAcceptance.NONE;
        }
        return ConfigTracker.keyAcceptance(confirmedAt, c.manifest().policy().keyFreshnessLimit(), clock.monotonic());
    }

    private void tick() {
        MonotonicTime now = clock.monotonic();
        boolean lead = directory.isLead(now);
        boolean changePending = tracker.localState(now).pending().isPresent();
        Duration period = changePending ? CHANGE_PENDING_PERIOD : IDLE_PERIOD;
        boolean stale = isStale(now);
        if ((lead || stale) && headPolls.tryStart(now, period)) {
            pollHead();
        }
        if (peerProbes.tryStart(now, period)) {
            directory.probeTargets(lead || stale, now).forEach(this::probe);
        }
        if (!registered && isDeclared() && registrations.tryStart(now, IDLE_PERIOD)) {
            register();
        }
        if (lead && active != null) {
            boolean listing = vmListings.tryStart(now, VM_LISTING_PERIOD);
            if ((changePending || listing) && leadRounds.tryStart(now, period)) {
                runLeadRound(listing);
            }
        }
    }

    private boolean isStale(MonotonicTime now) {
        boolean old = tracker.confirmedAt()
                .filter(c -> now.since(c).compareTo(MAX_CONFIRMATION_AGE) <= 0)
                .isEmpty();
        return old || (registered && !tracker.localState(now).isVoter());
    }

    private boolean isDeclared() {
        return active != null
                && active.vm(tracker.localState(clock.monotonic()).incarnation().vm())
                        .isPresent();
    }

    private void pollHead() {
        MonotonicTime sentAt = clock.monotonic();
        run(
                headPolls,
                "read-head",
                platform.readHead(),
                head -> head.ifPresent(h -> handleEvent(new ConfigEvent.HeadRead(h, sentAt))));
    }

    private void register() {
        run(registrations, "register", platform.register(clock.instant()), listed -> {
            if (listed) {
                registered = true;
                handleEvent(new ConfigEvent.Registered(clock.monotonic()));
            }
        });
    }

    private void runLeadRound(boolean withListing) {
        Mono<Boolean> round = platform.runLeadRound(withListing, t -> control.call(() -> planWrites(t)))
                .thenReturn(true);
        run(leadRounds, "lead", round, _ -> headPolls.nextStart = clock.monotonic());
    }

    private List<List<RowChange>> planWrites(ConfigTableSnapshot table) {
        List<PeerConfigState> states = new ArrayList<>(directory.localPeerStates());
        PeerConfigState localState = tracker.localState(clock.monotonic());
        states.add(localState);
        return ConfigLeaderPlanner.planWrites(localState.dataCentre(), table, tracker, states)
                .peekLeft(problem -> warn("lead", "platform", problem))
                .peek(writes -> writes.forEach(w -> LogEvent.of("config-write")
                        .with("keys", ConfigPlatformClient.joinKeys(w))
                        .info()))
                .getOrElse(List.of());
    }

    private void probe(Endpoint peer) {
        MonotonicTime sentAt = clock.monotonic();
        peers.probe(peer, tracker.localState(sentAt))
                .publishOn(control.scheduler())
                .subscribe(
                        state -> {
                            directory.recordAnswer(state, peer, clock.monotonic());
                            handleEvent(new ConfigEvent.ProbeAnswered(state, sentAt));
                        },
                        e -> LogEvent.of("config-probe-failed").with("cause", e).debug());
    }

    private PeerConfigState answerProbe(PeerConfigState sender) {
        handleEvent(new ConfigEvent.PeerStateReceived(sender));
        return tracker.localState(clock.monotonic());
    }

    private void handleEvent(ConfigEvent event) {
        List<ConfigEffect> effects = tracker.handle(event, clock.monotonic());
        confirmedAt = tracker.confirmedAt();
        for (ConfigEffect effect : effects) {
            switch (effect) {
                case ConfigEffect.Fetch f -> fetch(f);
                case ConfigEffect.Install i -> install(i.config());
            }
        }
    }

    private void install(EffectiveConfig config) {
        active = new ActiveConfig(config.version(), config.manifest());
        directory.updateDeclaredVms(config.manifest());
        MonotonicTime now = clock.monotonic();
        peerProbes.nextStart = now;
        leadRounds.nextStart = now;
        LogEvent.of("config-in-force")
                .with("version", config.version())
                .with(
                        "pending",
                        config.pending().map(r -> r.version().toString()).orElse("-"))
                .info();
    }

    private void fetch(ConfigEffect.Fetch f) {
        Mono<byte[]> store = platform.fetchManifest(f.ref());
        Mono<byte[]> source = f.peer()
                .flatMap(directory::endpoint)
                .map(e -> peers.fetch(e, f.ref()).onErrorResume(_ -> store))
                .orElse(store);
        source.publishOn(Schedulers.parallel())
                .map(json -> ConfigClient.parse(f.ref(), json))
                .switchIfEmpty(Mono.error(() -> new IllegalStateException(
                        "manifest object not found: " + f.ref().objectName())))
                .publishOn(control.scheduler())
                .subscribe(
                        result -> result.peek(m -> handleEvent(new ConfigEvent.ManifestLoaded(f.ref(), m)))
                                .peekLeft(errors -> fetchFailed(f.ref(), errors.getFirst())),
                        e -> fetchFailed(f.ref(), e));
    }

    private void fetchFailed(ConfigRef ref, Object cause) {
        warn("fetch-manifest", ref.version().toString(), cause);
        var _ = control.schedule(
                "fetch-again", FETCH_RETRY_DELAY, () -> handleEvent(new ConfigEvent.ManifestFailed(ref)));
    }

    private <T> void run(PeriodicCall periodicCall, String step, Mono<T> call, Consumer<T> onResult) {
        periodicCall.running = true;
        call.publishOn(control.scheduler())
                .doFinally(_ -> control.execute(step, () -> periodicCall.running = false))
                .subscribe(onResult, e -> warn(step, "platform", e));
    }

    private static void warn(String step, String subject, Object cause) {
        LogEvent.of("config-step-failed")
                .with("step", step)
                .with("subject", subject)
                .with("cause", cause)
                .warn();
    }
}
