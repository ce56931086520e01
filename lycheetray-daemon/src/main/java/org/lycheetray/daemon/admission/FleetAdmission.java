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
import org.lycheetray.daemon.metrics.DaemonMetrics;
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
 * Enforces the rate and burst of client accounts across the fleet.
 *
 * <p>{@link DistributedRateLimiter} makes all decisions, on the control thread. This class sends its loan messages to
 * peers, one batch per peer each time, and completes the requests whose decisions come later.
 */
public final class FleetAdmission implements AdmissionGate, AutoCloseable {
    private static final Duration TICK = Duration.ofMillis(20);
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(500);

    private final ControlThread control;
    private final Clock clock;
    private final ConfigView config;
    private final PeerNetwork peers;
    private final RateLimiterOptions options = RateLimiterOptions.DEFAULT;
    private final DistributedRateLimiter rateLimiter;
    private final Map<Long, MonoSink<Decision>> waitingRequests = new HashMap<>();
    private final Disposable tickTask;
    private ActiveConfig appliedConfig;
    private final LongAdder loanMessagesSent = new LongAdder();
    private volatile int waitingCount;

    private FleetAdmission(
            Incarnation localIncarnation, ControlThread control, Clock clock, ConfigView config, PeerNetwork peers) {
        this.control = control;
        this.clock = clock;
        this.config = config;
        this.peers = peers;
        this.rateLimiter = new DistributedRateLimiter(localIncarnation, options);
        this.tickTask = control.schedulePeriodically("rate-shares", TICK, this::tick);
    }

    /**
     * Registers the handler of loan messages and claims this VM's base share; must be called before the peer network
     * listens.
     *
     * @param localIncarnation incarnation of this process
     * @param control thread that owns the rate limits
     * @param clock clock of the process
     * @param config provides the configuration in force
     * @param peers exchanges loan messages with other VMs
     * @param tables stores the row of the process that uses this VM's base share
     * @return the running instance
     */
    public static FleetAdmission create(
            Incarnation localIncarnation,
            ControlThread control,
            Clock clock,
            ConfigView config,
            PeerNetwork peers,
            TableService tables) {
        FleetAdmission gate = new FleetAdmission(localIncarnation, control, clock, config, peers);
        peers.registerHandler(Request._Fields.LOAN_BATCH, gate::handleBatch);
        BaseShareClaim claim = new BaseShareClaim(
                localIncarnation,
                tables,
                control,
                clock.monotonic(),
                gate.options.maxLoanLifetime(),
                from -> gate.baseShareClaimed(localIncarnation.vm(), from));
        claim.claim();
        return gate;
    }

    private void baseShareClaimed(VmName vm, MonotonicTime from) {
        rateLimiter.acquireShare(vm, from, clock.monotonic());
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
        AdmissionResult a = rateLimiter.admit(account, request.deadline(), clock.monotonic());
        switch (a.decision()) {
            case RateDecision.Waiting w -> {
                waitingRequests.put(w.ticket(), sink);
                sink.onCancel(() -> control.execute("cancel-admission", () -> cancel(account, w.ticket())));
            }
            case RateDecision.Admitted d -> sink.success(toDecision(d));
            case RateDecision.Refused d -> sink.success(toDecision(d));
        }
        perform(a.effects());
    }

    private void cancel(ClientAccountName account, long ticket) {
        if (waitingRequests.remove(ticket) != null) {
            rateLimiter.cancel(account, ticket);
        }
    }

    private static Decision toDecision(RateDecision decision) {
        return switch (decision) {
            case RateDecision.Admitted d -> new Decision.Admitted(toRateLimits(d.limits()));
            case RateDecision.Refused d -> new Decision.OverRate(toRateLimits(d.limits()), d.retryAfter());
            case RateDecision.Waiting w -> throw new IllegalArgumentException("admission is still pending: " + w);
        };
    }

    private static RateLimits toRateLimits(RateLimitStatus l) {
        return new RateLimits(Math.max(1, l.perSecond()), l.burst(), l.remaining(), l.reset());
    }

    private void tick() {
        Optional<ActiveConfig> active = config.active();
        if (active.isPresent() && active.get() != appliedConfig) {
            appliedConfig = active.get();
            rateLimiter.updateConfigs(List.of(appliedConfig.manifest()), clock.monotonic());
        }
        perform(rateLimiter.tick(clock.monotonic()));
        waitingCount = waitingRequests.size();
    }

    private void perform(List<RateEffect> effects) {
        Map<VmName, List<LoanMessage>> batches = new LinkedHashMap<>();
        for (RateEffect e : effects) {
            switch (e) {
                case RateEffect.Send s ->
                    batches.computeIfAbsent(s.to(), v -> new ArrayList<>()).add(s.message());
                case RateEffect.Decided d -> completeRequest(d);
            }
        }
        batches.forEach(this::send);
    }

    private void completeRequest(RateEffect.Decided d) {
        MonoSink<Decision> sink = waitingRequests.remove(d.ticket());
        if (sink != null) {
            sink.success(toDecision(d.decision()));
        }
    }

    private void send(VmName to, List<LoanMessage> messages) {
        Optional<Vm> peer = Optional.ofNullable(appliedConfig).flatMap(c -> c.vm(to));
        if (peer.isEmpty()) {
            return;
        }
        loanMessagesSent.add(messages.size());
        Request request = Request.loanBatch(LoanCodec.encode(messages));
        peers.call(peer.get().peerEndpoint(), request, SEND_TIMEOUT).subscribe(reply -> {}, e -> {});
    }

    private Mono<Reply> handleBatch(Incarnation from, Request request) {
        LoanBatch batch = request.getLoanBatch();
        return control.call(() -> {
            for (Loan loan : batch.getLoans()) {
                perform(rateLimiter.onMessage(from.vm(), LoanCodec.decode(loan), clock.monotonic()));
            }
            return Reply.received(new Received());
        });
    }

    /**
     * Registers the metrics and the section {@code admission} of the status page.
     *
     * @param metrics registry for the gauges
     * @param status status page to add the section to
     */
    public void registerMetrics(DaemonMetrics metrics, StatusReport status) {
        status.addSection("admission", this::writeStatus);
        metrics.registerGauge("lycheetray_loan_messages_sent_total", loanMessagesSent::sum);
        metrics.registerGauge("lycheetray_requests_waiting_for_loan", () -> waitingCount);
    }

    /** Writes the rate and burst that this VM may currently use for each client account, loans included. */
    private void writeStatus(ObjectNode node) {
        if (appliedConfig == null) {
            return;
        }
        for (ClientAccount a : appliedConfig.manifest().clientAccounts()) {
            RateShare held = rateLimiter.usableShare(a.name(), clock.monotonic());
            node.putObject(a.name().value())
                    .put("ratePerSecond", (double) held.rate() / RateShare.TOKEN)
                    .put("burst", (double) held.burst() / RateShare.TOKEN);
        }
    }

    /** Stops the periodic task and returns all loans. */
    @Override
    public void close() {
        tickTask.dispose();
        control.execute("return-loans", () -> perform(rateLimiter.returnAllLoans()));
    }
}
