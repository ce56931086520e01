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

/** Drives {@link ClaimTable} on the control thread and carries out its effects. */
public final class GroupClaims implements ClaimGate, AutoCloseable {
    private static final Duration WRITE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration PEER_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration RETRY_AFTER = Duration.ofSeconds(1);
    private static final Duration FLUSH_LIMIT = Duration.ofSeconds(5);
    private static final Duration FLUSH_POLL = Duration.ofMillis(10);

    private final ClaimTable claims;
    private final PlatformClient platform;
    private final ControlThread control;
    private final PeerNetwork peers;
    private final ConfigView config;
    private final Clock clock;
    private final StoredAnswers answers;
    private final Map<RequestId, MonoSink<ClaimVerdict>> waiting = new HashMap<>();
    private final Map<PeerQuestion, MonoSink<Reply>> questions = new HashMap<>();
    private final Disposable.Swap timer = Disposables.swap();
    private long lastQuestion;
    private volatile int open;
    private volatile long writes;

    /**
     * Creates the gate and registers it with the peer network.
     *
     * @param self this process
     * @param platform table service and object store
     * @param control owns the claims
     * @param peers reaches the holders of other claims
     * @param config addresses of other VMs
     * @param clock clock of the process
     */
    public GroupClaims(
            Incarnation self,
            PlatformClient platform,
            ControlThread control,
            PeerNetwork peers,
            ConfigView config,
            Clock clock) {
        this.claims = new ClaimTable(self, ClaimSettings.DEFAULT);
        this.platform = platform;
        this.control = control;
        this.peers = peers;
        this.config = config;
        this.clock = clock;
        this.answers = new StoredAnswers(platform.objects());
        peers.handle(Request._Fields.CLAIM_QUESTION, this::peerAsked);
    }

    @Override
    public Mono<Decision> claim(RequestContext request, String digest) {
        ClaimKey key = new ClaimKey(request.account(), request.idempotencyKey().orElseThrow());
        ClaimRequest r =
                new ClaimRequest(request.id(), key, new RequestDigest(digest), request.deadline(), clock.instant());
        return Mono.<ClaimVerdict>create(sink -> control.execute("claim", () -> {
                    waiting.put(r.id(), sink);
                    carryOut(claims.claim(r, now()));
                }))
                .flatMap(this::decision);
    }

    /**
     * Takes a newer floor from the clean-up of old claims; called on the control thread.
     *
     * @param floor the floor
     */
    public void raiseFloor(ClaimExpiryWatermark floor) {
        claims.raiseWatermark(floor);
    }

    /**
     * Counts claims whose end the table does not hold yet.
     *
     * @return claims in memory
     */
    public int open() {
        return open;
    }

    /**
     * Counts the writes sent to the table service.
     *
     * @return writes since start
     */
    public long writes() {
        return writes;
    }

    /** Waits, within a bound, until running attempts have ended and the table holds every end. */
    @Override
    public void close() {
        MonotonicTime limit = now().plus(FLUSH_LIMIT);
        int left = count();
        while (left > 0 && now().isBefore(limit)) {
            Mono.delay(FLUSH_POLL).block();
            left = count();
        }
        timer.dispose();
        if (left > 0) {
            LogEvent.of("claims-left")
                    .with("step", "flush-claims")
                    .with("open", left)
                    .warn();
        }
    }

    private int count() {
        return control.call(claims::openClaims).blockOptional(FLUSH_LIMIT).orElse(0);
    }

    private Mono<Decision> decision(ClaimVerdict verdict) {
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

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect e : effects) {
            switch (e) {
                case ClaimEffect.Write w -> write(w);
                case ClaimEffect.AskHolder a -> ask(a.number(), a.attempt());
                case ClaimEffect.AnswerPeer a -> answer(a.question(), a.result());
                case ClaimEffect.Decide d ->
                    Optional.ofNullable(waiting.remove(d.request())).ifPresent(sink -> sink.success(d.verdict()));
            }
        }
        open = claims.openClaims();
        writes = claims.writeCount();
        arm();
    }

    private void write(ClaimEffect.Write w) {
        var _ = platform.tables()
                .write(w.changes())
                .timeout(WRITE_TIMEOUT)
                .onErrorResume(e -> Mono.just(new WriteResult.Unknown("write claims: " + e.getMessage())))
                .subscribe(r -> control.execute(
                        "claims-written", () -> carryOut(claims.handleWriteResult(w.number(), r, now()))));
    }

    private void ask(long number, AttemptId attempt) {
        Request question = Request.claimQuestion(new ClaimQuestion(attempt.toString()));
        Optional<Vm> holder = config.active().flatMap(c -> c.vm(attempt.holder().vm()));
        Mono<Reply> reply = holder.map(vm -> peers.call(vm.peerEndpoint(), question, PEER_TIMEOUT))
                .orElseGet(Mono::empty);
        var _ = reply.map(r -> ClaimRowCodec.decodeResult(r.getClaimAnswer().getResult()))
                .onErrorResume(e -> Mono.just(new AttemptResult.Unknown()))
                .defaultIfEmpty(new AttemptResult.Unknown())
                .subscribe(r -> control.execute(
                        "claim-peer-answered", () -> carryOut(claims.handlePeerAnswer(number, r, now()))));
    }

    private Mono<Reply> peerAsked(Incarnation from, Request request) {
        Optional<AttemptId> attempt = AttemptId.parse(request.getClaimQuestion().getAttempt());
        return Mono.create(sink -> control.execute("claim-peer-asked", () -> {
            PeerQuestion question = new PeerQuestion(from, ++lastQuestion);
            questions.put(question, sink);
            if (attempt.isEmpty()) {
                answer(question, new AttemptResult.Unknown());
            } else {
                carryOut(claims.handlePeerQuestion(question, attempt.get()));
            }
        }));
    }

    private void answer(PeerQuestion question, AttemptResult result) {
        Optional.ofNullable(questions.remove(question))
                .ifPresent(
                        sink -> sink.success(Reply.claimAnswer(new ClaimAnswer(ClaimRowCodec.encodeResult(result)))));
    }

    /** Plans the next tick; a tick that is due runs through the queue so that other tasks get their turn. */
    private void arm() {
        claims.nextTickTime().ifPresent(t -> {
            Duration wait = t.since(now());
            timer.update(control.after("claims-tick", wait.isNegative() ? Duration.ZERO : wait, this::tick));
        });
    }

    private void tick() {
        carryOut(claims.tick(now()));
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
        public boolean mayDispatch() {
            return run.canDispatch(now());
        }

        /** Records in the background: the caller's answer does not wait for the table. */
        @Override
        public Mono<Void> end(org.lycheetray.daemon.request.AttemptResult result) {
            var _ = answers.resultOf(run.attempt(), result)
                    .subscribe(r -> control.execute(
                            "claim-ended", () -> carryOut(claims.recordResult(run.attempt(), r, now()))));
            return Mono.empty();
        }
    }
}
