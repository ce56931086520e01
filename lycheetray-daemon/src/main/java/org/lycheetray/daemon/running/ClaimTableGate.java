package org.lycheetray.daemon.running;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.once.AttemptId;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.ClaimEffect;
import org.lycheetray.core.once.ClaimExpiryWatermark;
import org.lycheetray.core.once.ClaimKey;
import org.lycheetray.core.once.ClaimRequest;
import org.lycheetray.core.once.ClaimRowCodec;
import org.lycheetray.core.once.ClaimSettings;
import org.lycheetray.core.once.ClaimTable;
import org.lycheetray.core.once.ClaimVerdict;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.PeerQuestion;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.peer.PeerNetwork;
import org.lycheetray.daemon.request.ClaimGate;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.protocol.generated.ClaimAnswer;
import org.lycheetray.protocol.generated.ClaimQuestion;
import org.lycheetray.protocol.generated.Reply;
import org.lycheetray.protocol.generated.Request;
import reactor.core.Disposable;
import reactor.core.Disposables;
import reactor.core.publisher.Mono;
import reactor.core.publisher.MonoSink;

/**
 * Claim gate that runs the {@link ClaimTable} on the control thread and applies its effects: batched writes to
 * the table service, questions to other VMs, and verdicts.
 */
public final class ClaimTableGate implements ClaimGate, AutoCloseable {
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration FLUSH_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration FLUSH_POLL_INTERVAL = Duration.ofMillis(10);

    private final ClaimTable claims;
    private final PlatformClient platform;
    private final ControlThread control;
    private final PeerNetwork peers;
    private final ConfigView config;
    private final Clock clock;
    private final ClaimAnswerStore answers;
    private final Map<RequestId, MonoSink<ClaimVerdict>> pendingVerdicts = new HashMap<>();
    private final Map<PeerQuestion, MonoSink<Reply>> pendingReplies = new HashMap<>();
    private final Disposable.Swap timer = Disposables.swap();
    private long lastQuestionNumber;
    private volatile int openClaims;
    private volatile long writeCount;

    /**
     * Creates the gate and registers its handler for claim questions with the peer network.
     *
     * @param localIncarnation incarnation of this process
     * @param platform client of the table service and the object store
     * @param control thread that owns the claim table
     * @param peers network to the VMs that hold other claims
     * @param config configuration with the addresses of other VMs
     * @param clock clock of the process
     */
    public ClaimTableGate(
            Incarnation localIncarnation,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        this.claims = new ClaimTable(localIncarnation, ClaimSettings.DEFAULT);
        this.platform = platform;
        this.control = control;
        this.peers = peers;
        this.config = config;
        this.clock = clock;
        this.answers = new ClaimAnswerStore(platform.objects());
        peers.registerHandler(Request._Fields.CLAIM_QUESTION, this::handlePeerQuestion);
    }

    @Override
    public Mono<Decision> claim(RequestContext request, String digest) {
        ClaimKey key = new ClaimKey(request.account(), request.idempotencyKey().orElseThrow());
        ClaimRequest r =
                new ClaimRequest(request.id(), key, new RequestDigest(digest), request.deadline(), clock.instant());
        return Mono.<ClaimVerdict>create(sink -> control.execute("claim", () -> {
                    pendingVerdicts.put(r.id(), sink);
                    apply(claims.claim(r, now()));
                }))
                .flatMap(this::toDecision);
    }

    /**
     * Raises the watermark below which no claims may be written any more; must be called on the control thread.
     *
     * @param watermark the claim expiry watermark
     */
    public void raiseWatermark(ClaimExpiryWatermark watermark) {
        claims.raiseWatermark(watermark);
    }

    /**
     * Returns the number of claims whose result is not yet stored in the table.
     *
     * @return number of claims in memory
     */
    public int openClaims() {
        return openClaims;
    }

    /**
     * Returns the number of writes sent to the table service.
     *
     * @return writes since the start of the process
     */
    public long writeCount() {
        return writeCount;
    }

    /** Waits a bounded time for running attempts to end and for their results to be stored. */
    @Override
    public void close() {
        MonotonicTime deadline = now().plus(FLUSH_TIMEOUT);
        int remaining = countOpenClaims();
        while (remaining > 0 && now().isBefore(deadline)) {
            Mono.delay(FLUSH_POLL_INTERVAL).block();
            remaining = countOpenClaims();
        }
        timer.dispose();
        if (remaining > 0) {
            LogEvent.of("claims-left")
                    .with("step", "flush-claims")
                    .with("open", remaining)
                    .warn();
        }
    }

    private int countOpenClaims() {
        return control.call(claims::openClaims).blockOptional(FLUSH_TIMEOUT).orElse(0);
    }

    private Mono<Decision> toDecision(ClaimVerdict verdict) {
        return switch (verdict) {
            case ClaimVerdict.Run run -> Mono.just(new Decision.Run(new HeldClaim(run)));
            case ClaimVerdict.Replay r ->
                answers.load(r.answer())
                        .<Decision>map(Decision.Replay::new)
                        .defaultIfEmpty(refused(FailurePoint.ANSWER_NOT_KEPT));
            case ClaimVerdict.Refuse r -> Mono.just(refused(r.point()));
        };
    }

    private static Decision refused(FailurePoint point) {
        boolean retry = point.status() == 503 || point == FailurePoint.EARLIER_ATTEMPT;
        return new Decision.Refused(
                new Refusal(point, point.detail(), retry ? Optional.of(RETRY_AFTER) : Optional.empty()));
    }

    private void apply(List<ClaimEffect> effects) {
        for (ClaimEffect e : effects) {
            switch (e) {
                case ClaimEffect.Write w -> write(w);
                case ClaimEffect.AskHolder a -> askHolder(a.number(), a.attempt());
                case ClaimEffect.AnswerPeer a -> answerPeer(a.question(), a.result());
                case ClaimEffect.Decide d ->
                    Optional.ofNullable(pendingVerdicts.remove(d.request()))
                            .ifPresent(sink -> sink.success(d.verdict()));
            }
        }
        openClaims = claims.openClaims();
        writeCount = claims.writeCount();
        scheduleTick();
    }

    private void write(ClaimEffect.Write w) {
        var _ = platform.tables()
                .write(w.changes())
                .timeout(WRITE_TIMEOUT)
                .onErrorResume(e -> Mono.just(new WriteResult.Unknown("write claims: " + e.getMessage())))
                .subscribe(r ->
                        control.execute("claims-written", () -> apply(claims.handleWriteResult(w.number(), r, now()))));
    }

    private void askHolder(long number, AttemptId attempt) {
        Request question = Request.claimQuestion(new ClaimQuestion(attempt.toString()));
        Optional<Vm> holder = config.active().flatMap(c -> c.vm(attempt.holder().vm()));
        Mono<Reply> reply = holder.map(vm -> peers.call(vm.peerEndpoint(), question, PEER_TIMEOUT))
                .orElseGet(Mono::empty);
        var _ = reply.map(r -> ClaimRowCodec.decodeResult(r.getClaimAnswer().getResult()))
                .onErrorResume(e -> Mono.just(new AttemptResult.Unknown()))
                .defaultIfEmpty(new AttemptResult.Unknown())
                .subscribe(r ->
                        control.execute("claim-peer-answered", () -> apply(claims.handlePeerAnswer(number, r, now()))));
    }

    private Mono<Reply> handlePeerQuestion(Incarnation from, Request request) {
        Optional<AttemptId> attempt = AttemptId.parse(request.getClaimQuestion().getAttempt());
        return Mono.create(sink -> control.execute("claim-peer-asked", () -> {
            PeerQuestion question = new PeerQuestion(from, ++lastQuestionNumber);
            pendingReplies.put(question, sink);
            if (attempt.isEmpty()) {
                answerPeer(question, new AttemptResult.Unknown());
            } else {
                apply(claims.handlePeerQuestion(question, attempt.get()));
            }
        }));
    }

    private void answerPeer(PeerQuestion question, AttemptResult result) {
        Optional.ofNullable(pendingReplies.remove(question))
                .ifPresent(
                        sink -> sink.success(Reply.claimAnswer(new ClaimAnswer(ClaimRowCodec.encodeResult(result)))));
    }

    /** Schedules the next tick. A tick that is already due is queued too, so that it does not starve other tasks. */
    private void scheduleTick() {
        claims.nextTickTime().ifPresent(t -> {
            Duration wait = t.since(now());
            timer.update(control.schedule("claims-tick", wait.isNegative() ? Duration.ZERO : wait, this::tick));
        });
    }

    private void tick() {
        apply(claims.tick(now()));
    }

    private MonotonicTime now() {
        return clock.monotonic();
    }

    private final class HeldClaim implements Claim {
        private final ClaimVerdict.Run run;

        HeldClaim(ClaimVerdict.Run run) {
            this.run = run;
        }

        @Override
        public boolean canDispatch() {
            return run.canDispatch(now());
        }

        /** Records the result in the background, so that the response does not wait for the table service. */
        @Override
        public Mono<Void> recordResult(org.lycheetray.daemon.request.AttemptResult result) {
            var _ = answers.storeResult(run.attempt(), result)
                    .subscribe(r ->
                            control.execute("claim-ended", () -> apply(claims.recordResult(run.attempt(), r, now()))));
            return Mono.empty();
        }
    }
}
