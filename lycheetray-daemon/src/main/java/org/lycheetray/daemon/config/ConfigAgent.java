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
import org.lycheetray.daemon.config.internal.ConfigPeers;
import org.lycheetray.daemon.config.internal.ConfigPlatform;
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
 * Keeps a VM's configuration up to date and tells the request path how far it may be trusted.
 *
 * <p>All state lives on the control thread; traffic threads read two volatile values.
 */
public final class ConfigAgent implements ConfigView, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(50);
    private static final Duration CALM_PERIOD = Duration.ofMillis(500);
    private static final Duration HURRIED_PERIOD = Duration.ofMillis(150);
    private static final Duration STALE = Duration.ofMillis(1_500);
    private static final Duration FETCH_RETRY = Duration.ofSeconds(1);
    private static final Duration LISTING_PERIOD = Duration.ofSeconds(10);

    private final ControlThread control;
    private final Clock clock;
    private final ConfigTracker keeper;
    private final ConfigPlatform platform;
    private final ConfigPeers peers;
    private final PeerDirectory directory;
    private final Timer polls;
    private final Timer probes;
    private final Timer leadRounds;
    private final Timer registrations;
    private final Timer listings;
    private final Disposable ticking;
    private boolean registered;
    private volatile ActiveConfig active;
    private volatile Optional<MonotonicTime> confirmedAt = Optional.empty();

    /** Says when something is due again, and keeps a second call from starting while one runs. */
    private static final class Timer {
        private MonotonicTime due;
        private boolean busy;

        Timer(MonotonicTime due) {
            this.due = due;
        }

        boolean start(MonotonicTime now, Duration period) {
            if (busy || now.isBefore(due)) {
                return false;
            }
            due = now.plus(period);
            return true;
        }
    }

    private ConfigAgent(
            Incarnation self,
            Settings settings,
            PlatformClient client,
            PeerNetwork network,
            ControlThread control,
            Clock clock) {
        this.control = control;
        this.clock = clock;
        this.keeper = new ConfigTracker(self, settings.dataCentre());
        this.platform = new ConfigPlatform(client, self, settings.dataCentre());
        this.peers = new ConfigPeers(network, control);
        this.directory = new PeerDirectory(self.vm(), settings.dataCentre(), settings.seeds());
        MonotonicTime now = clock.monotonic();
        this.polls = new Timer(now);
        this.probes = new Timer(now);
        this.leadRounds = new Timer(now);
        this.registrations = new Timer(now);
        this.listings = new Timer(now);
        peers.serve(this::answer, keeper::manifest);
        this.ticking = control.every("config-tick", TICK, this::tick);
    }

    /**
     * Starts to learn configurations; must come before the network listens.
     *
     * @param self this process
     * @param settings addresses and data centre
     * @param client the platform
     * @param network reaches peers
     * @param control owns the state
     * @param clock clock for freshness
     * @return the running agent
     */
    public static ConfigAgent create(
            Incarnation self,
            Settings settings,
            PlatformClient client,
            PeerNetwork network,
            ControlThread control,
            Clock clock) {
        return new ConfigAgent(self, settings, client, network, control, clock);
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
    public boolean serves(RouteClass routeClass) {
        return trust().permits(routeClass);
    }

    /**
     * Writes the section of the status page; control thread only.
     *
     * @param node receives the fields
     */
    public void describe(ObjectNode node) {
        PeerConfigState view = keeper.localState(clock.monotonic());
        node.put("version", view.accepted().map(r -> r.version().number()).orElse(0L));
        node.put("pending", view.pending().map(r -> r.version().toString()).orElse("-"));
        node.put("keyTrust", trust().name());
        view.freshnessEvidence()
                .ifPresent(c -> node.put("confirmedAgeMs", c.age().toMillis()));
        node.put("voter", view.isVoter());
        node.put("lead", directory.isLead(clock.monotonic()));
    }

    @Override
    public void close() {
        ticking.dispose();
    }

    private KeyAcceptance trust() {
        ActiveConfig c = active;
        if (c == null) {
            return KeyAcceptance.NONE;
        }
        return ConfigTracker.keyAcceptance(confirmedAt, c.manifest().policy().keyFreshnessLimit(), clock.monotonic());
    }

    private void tick() {
        MonotonicTime now = clock.monotonic();
        boolean lead = directory.isLead(now);
        boolean hurried = keeper.localState(now).pending().isPresent();
        Duration period = hurried ? HURRIED_PERIOD : CALM_PERIOD;
        boolean stale = isStale(now);
        if ((lead || stale) && polls.start(now, period)) {
            poll();
        }
        if (probes.start(now, period)) {
            directory.targets(lead || stale, now).forEach(this::probe);
        }
        if (!registered && isDeclared() && registrations.start(now, CALM_PERIOD)) {
            register();
        }
        if (lead && active != null) {
            boolean listing = listings.start(now, LISTING_PERIOD);
            if ((hurried || listing) && leadRounds.start(now, period)) {
                lead(listing);
            }
        }
    }

    private boolean isStale(MonotonicTime now) {
        boolean old = keeper.confirmedAt()
                .filter(c -> now.since(c).compareTo(STALE) <= 0)
                .isEmpty();
        return old || (registered && !keeper.localState(now).isVoter());
    }

    private boolean isDeclared() {
        return active != null
                && active.vm(keeper.localState(clock.monotonic()).incarnation().vm())
                        .isPresent();
    }

    private void poll() {
        MonotonicTime sentAt = clock.monotonic();
        run(
                polls,
                "read-head",
                platform.head(),
                head -> head.ifPresent(h -> handle(new ConfigEvent.HeadRead(h, sentAt))));
    }

    private void register() {
        run(registrations, "register", platform.register(clock.instant()), listed -> {
            if (listed) {
                registered = true;
                handle(new ConfigEvent.Registered(clock.monotonic()));
            }
        });
    }

    private void lead(boolean withListing) {
        Mono<Boolean> round =
                platform.lead(withListing, t -> control.call(() -> decide(t))).thenReturn(true);
        run(leadRounds, "lead", round, _ -> polls.due = clock.monotonic());
    }

    private List<List<RowChange>> decide(ConfigTableSnapshot table) {
        List<PeerConfigState> views = new ArrayList<>(directory.views());
        PeerConfigState own = keeper.localState(clock.monotonic());
        views.add(own);
        return ConfigLeaderPlanner.planWrites(own.dataCentre(), table, keeper, views)
                .peekLeft(problem -> warn("lead", "platform", problem))
                .peek(writes -> writes.forEach(w -> LogEvent.of("config-write")
                        .with("keys", ConfigPlatform.describe(w))
                        .info()))
                .getOrElse(List.of());
    }

    private void probe(Endpoint peer) {
        MonotonicTime sentAt = clock.monotonic();
        peers.probe(peer, keeper.localState(sentAt))
                .publishOn(control.scheduler())
                .subscribe(
                        view -> {
                            directory.heard(view, peer, clock.monotonic());
                            handle(new ConfigEvent.ProbeAnswered(view, sentAt));
                        },
                        e -> LogEvent.of("config-probe-failed").with("cause", e).debug());
    }

    private PeerConfigState answer(PeerConfigState sender) {
        handle(new ConfigEvent.PeerStateReceived(sender));
        return keeper.localState(clock.monotonic());
    }

    private void handle(ConfigEvent event) {
        List<ConfigEffect> effects = keeper.handle(event, clock.monotonic());
        confirmedAt = keeper.confirmedAt();
        for (ConfigEffect effect : effects) {
            switch (effect) {
                case ConfigEffect.Fetch f -> fetch(f);
                case ConfigEffect.Install i -> install(i.config());
            }
        }
    }

    private void install(EffectiveConfig config) {
        active = new ActiveConfig(config.version(), config.manifest());
        directory.declare(config.manifest());
        MonotonicTime now = clock.monotonic();
        probes.due = now;
        leadRounds.due = now;
        LogEvent.of("config-in-force")
                .with("version", config.version())
                .with(
                        "pending",
                        config.pending().map(r -> r.version().toString()).orElse("-"))
                .info();
    }

    private void fetch(ConfigEffect.Fetch f) {
        Mono<byte[]> store = platform.fetch(f.ref());
        Mono<byte[]> source = f.peer()
                .flatMap(directory::endpoint)
                .map(e -> peers.fetch(e, f.ref()).onErrorResume(_ -> store))
                .orElse(store);
        source.publishOn(Schedulers.parallel())
                .map(json -> ConfigClient.parse(f.ref(), json))
                .switchIfEmpty(Mono.error(
                        () -> new IllegalStateException("no object " + f.ref().objectName())))
                .publishOn(control.scheduler())
                .subscribe(
                        result -> result.peek(m -> handle(new ConfigEvent.ManifestLoaded(f.ref(), m)))
                                .peekLeft(errors -> fetchFailed(f.ref(), errors.getFirst())),
                        e -> fetchFailed(f.ref(), e));
    }

    private void fetchFailed(ConfigRef ref, Object cause) {
        warn("fetch-manifest", ref.version().toString(), cause);
        var _ = control.after("fetch-again", FETCH_RETRY, () -> handle(new ConfigEvent.ManifestFailed(ref)));
    }

    private <T> void run(Timer timer, String step, Mono<T> call, Consumer<T> use) {
        timer.busy = true;
        call.publishOn(control.scheduler())
                .doFinally(_ -> control.execute(step, () -> timer.busy = false))
                .subscribe(use, e -> warn(step, "platform", e));
    }

    private static void warn(String step, String subject, Object cause) {
        LogEvent.of("config-step-failed")
                .with("step", step)
                .with("subject", subject)
                .with("cause", cause)
                .warn();
    }
}
