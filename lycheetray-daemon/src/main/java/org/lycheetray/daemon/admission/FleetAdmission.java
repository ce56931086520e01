package org.lycheetray.daemon.admission;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import org.lycheetray.core.admission.AdmissionResult;
import org.lycheetray.core.admission.DistributedRateLimiter;
import org.lycheetray.core.admission.LoanMessage;
import org.lycheetray.core.admission.RateDecision;
import org.lycheetray.core.admission.RateEffect;
import org.lycheetray.core.admission.RateLimitStatus;
import org.lycheetray.core.admission.RateLimiterOptions;
import org.lycheetray.core.admission.RateShare;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ActiveConfig;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.metrics.FleetMetrics;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.request.AdmissionGate;
import org.lycheetray.daemon.request.RateLimits;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.daemon.status.StatusReport;
import org.lycheetray.platform.TableService;
import org.lycheetray.protocol.generated.Loan;
import org.lycheetray.protocol.generated.LoanBatch;
import org.lycheetray.protocol.generated.Received;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Keeps client accounts within their rate and burst over the whole fleet.
 *
 * <p>All decisions are {@link DistributedRateLimiter}' and run on the control thread; this class carries its messages to peers, a
 * batch per peer and turn, and its late decisions to the requests that wait.
 */
public final class FleetAdmission implements AdmissionGate, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(500);

    private final ControlThread control;
    private final Clock clock;
    private final ConfigView config;
    private final PeerNetwork peers;
    private final RateLimiterOptions options = RateLimiterOptions.DEFAULT;
    private final DistributedRateLimiter shares;
    private final Map<Long, MonoSink<Decision>> waiting = new HashMap<>();
    private final Disposable ticks;
    private ActiveConfig configured;
    private final LongAdder messagesSent = new LongAdder();
    private volatile int requestsWaiting;

    private FleetAdmission(Incarnation self, ControlThread control, Clock clock, ConfigView config, PeerNetwork peers) {
        this.control = control;
        this.clock = clock;
        this.config = config;
        this.peers = peers;
        this.shares = new DistributedRateLimiter(self, options);
        this.ticks = control.every("rate-shares", TICK, this::tick);
    }

    /**
     * Starts to take part in the fleet's loans; must be called before the peer network listens.
     *
     * @param self this process
     * @param control runs all decisions
     * @param clock clock of the process
     * @param config configuration in force
     * @param peers carries loans
     * @param tables holds the row that says who uses this VM's base share
     * @return the gate
     */
    public static FleetAdmission create(
            Incarnation self,
            ControlThread control,
            Clock clock,
            ConfigView config,
            PeerNetwork peers,
            TableService tables) {
        FleetAdmission gate = new FleetAdmission(self, control, clock, config, peers);
        peers.handle(Request._Fields.LOAN_BATCH, gate::received);
        OwnShare own = new OwnShare(
                self,
                tables,
                control,
                clock.monotonic(),
                gate.options.maxLoanLifetime(),
                from -> gate.claimed(self.vm(), from));
        own.claim();
        return gate;
    }

    private void claimed(VmName self, MonotonicTime from) {
        shares.acquireShare(self, from, clock.monotonic());
        LogEvent.of("base-share-claimed")
                .with("usable-in", from.since(clock.monotonic()))
                .info();
    }

    @Override
    public Mono<Decision> admit(RequestContext request) {
        return Mono.create(sink -> control.execute("admit", () -> decide(request, sink)));
    }

    private void decide(RequestContext request, MonoSink<Decision> sink) {
        ClientAccountName account = request.account().orElseThrow();
        AdmissionResult a = shares.admit(account, request.deadline(), clock.monotonic());
        switch (a.decision()) {
            case RateDecision.Waiting w -> {
                waiting.put(w.ticket(), sink);
                sink.onCancel(() -> control.execute("cancel-admission", () -> cancel(account, w.ticket())));
            }
            case RateDecision.Admitted d -> sink.success(translate(d));
            case RateDecision.Refused d -> sink.success(translate(d));
        }
        perform(a.effects());
    }

    private void cancel(ClientAccountName account, long ticket) {
        if (waiting.remove(ticket) != null) {
            shares.cancel(account, ticket);
        }
    }

    private static Decision translate(RateDecision decision) {
        return switch (decision) {
            case RateDecision.Admitted d -> new Decision.Admitted(limits(d.limits()));
            case RateDecision.Refused d -> new Decision.OverRate(limits(d.limits()), d.retryAfter());
            case RateDecision.Waiting w -> throw new IllegalArgumentException("not decided yet: " + w);
        };
    }

    private static RateLimits limits(RateLimitStatus l) {
        return new RateLimits(Math.max(1, l.perSecond()), l.burst(), l.remaining(), l.reset());
    }

    private void tick() {
        Optional<ActiveConfig> active = config.active();
        if (active.isPresent() && active.get() != configured) {
            configured = active.get();
            shares.updateConfigs(List.of(configured.manifest()), clock.monotonic());
        }
        perform(shares.tick(clock.monotonic()));
        requestsWaiting = waiting.size();
    }

    private void perform(List<RateEffect> effects) {
        Map<VmName, List<LoanMessage>> batches = new LinkedHashMap<>();
        for (RateEffect e : effects) {
            switch (e) {
                case RateEffect.Send s ->
                    batches.computeIfAbsent(s.to(), v -> new ArrayList<>()).add(s.message());
                case RateEffect.Decided d -> decided(d);
            }
        }
        batches.forEach(this::send);
    }

    private void decided(RateEffect.Decided d) {
        MonoSink<Decision> sink = waiting.remove(d.ticket());
        if (sink != null) {
            sink.success(translate(d.decision()));
        }
    }

    private void send(VmName to, List<LoanMessage> messages) {
        Optional<Vm> peer = Optional.ofNullable(configured).flatMap(c -> c.vm(to));
        if (peer.isEmpty()) {
            return;
        }
        messagesSent.add(messages.size());
        Request request = Request.loanBatch(LoanCodec.encode(messages));
        peers.call(peer.get().peerEndpoint(), request, SEND_TIMEOUT).subscribe(reply -> {}, e -> {});
    }

    private Mono<Reply> received(Incarnation from, Request request) {
        LoanBatch batch = request.getLoanBatch();
        return control.call(() -> {
            for (Loan loan : batch.getLoans()) {
                perform(shares.onMessage(from.vm(), LoanCodec.decode(loan), clock.monotonic()));
            }
            return Reply.received(new Received());
        });
    }

    /**
     * Exposes metrics and the section {@code admission} of the status.
     *
     * @param metrics receives the gauges
     * @param status receives the section
     */
    public void expose(FleetMetrics metrics, StatusReport status) {
        status.section("admission", this::describe);
        metrics.gauge("lycheetray_loan_messages_sent_total", messagesSent::sum);
        metrics.gauge("lycheetray_requests_waiting_for_loan", () -> requestsWaiting);
    }

    /** Each client account's rate and burst that this VM may use now, loans included. */
    private void describe(ObjectNode node) {
        if (configured == null) {
            return;
        }
        for (ClientAccount a : configured.manifest().clientAccounts()) {
            RateShare held = shares.usableShare(a.name(), clock.monotonic());
            node.putObject(a.name().value())
                    .put("ratePerSecond", (double) held.rate() / RateShare.TOKEN)
                    .put("burst", (double) held.burst() / RateShare.TOKEN);
        }
    }

    /** Returns all loans. */
    @Override
    public void close() {
        ticks.dispose();
        control.execute("return-loans", () -> perform(shares.returnAllLoans()));
    }
}
