package org.lycheetray.measure.once;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.once.AttemptId;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.ClaimEffect;
import org.lycheetray.core.once.ClaimRequest;
import org.lycheetray.core.once.ClaimSettings;
import org.lycheetray.core.once.ClaimTable;
import org.lycheetray.core.once.ClaimVerdict;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.PeerQuestion;
import org.lycheetray.core.once.RequestOutcome;
import org.lycheetray.core.once.StoredAnswer;
import org.lycheetray.core.time.MonotonicTime;

/** One life of an entry VM's process in virtual time; tests replace single steps by wrong ones. */
class SimulatedVm {
    static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration TICK = Duration.ofMillis(5);
    private static final int MAX_SERVERS_TRIED = 3;

    private final OnceSimulation world;
    private final Incarnation self;
    private final ClaimTable claims;
    private final Map<RequestId, Call> calls = new HashMap<>();
    private boolean dead;
    private MonotonicTime pausedUntil = MonotonicTime.ZERO;

    /** A caller's request that has not been told anything yet. */
    static final class Call {
        final ClaimRequest request;
        final Consumer<History.Told> tell;
        final RequestOutcome outcome = new RequestOutcome(RouteClass.ONCE);
        ClaimVerdict.Run run;
        int serversTried;

        Call(ClaimRequest request, Consumer<History.Told> tell) {
            this.request = request;
            this.tell = tell;
        }
    }

    SimulatedVm(OnceSimulation world, Incarnation self) {
        this.world = world;
        this.self = self;
        claims = new ClaimTable(self, ClaimSettings.DEFAULT);
        deliver(TICK, this::tick);
    }

    Incarnation self() {
        return self;
    }

    int die() {
        dead = true;
        List<Call> open = new ArrayList<>(calls.values());
        calls.clear();
        open.forEach(c -> c.tell.accept(new History.Told(c.request.id().value(), Outcome.UNKNOWN, "", true)));
        return open.size();
    }

    void pause(Duration d) {
        pausedUntil = world.queue().now().plus(d);
    }

    /** Runs an action on this process after a delay, later if it is paused, never if it has died. */
    final void deliver(Duration delay, Runnable action) {
        world.queue().after(delay, () -> {
            if (dead) {
                return;
            }
            if (world.queue().now().isBefore(pausedUntil)) {
                deliver(pausedUntil.since(world.queue().now()), action);
            } else {
                action.run();
            }
        });
    }

    final void accept(ClaimRequest request, Consumer<History.Told> tell) {
        Call call = new Call(request, tell);
        calls.put(request.id(), call);
        deliver(Duration.ZERO, () -> arrive(call));
    }

    void arrive(Call call) {
        carryOut(claims.claim(call.request, now()));
    }

    void ask(PeerQuestion question, AttemptId attempt) {
        carryOut(claims.handlePeerQuestion(question, attempt));
    }

    void answer(long question, AttemptResult result) {
        carryOut(claims.handlePeerAnswer(question, result, now()));
    }

    /** Decides what the claim's holder tells others of an attempt whose end is not known. */
    AttemptResult endOf(Call call) {
        return call.outcome.outcome() == Outcome.NOT_RUN ? new AttemptResult.NotRun() : new AttemptResult.Unknown();
    }

    /** Decides whether another server is tried. */
    boolean mayTryAnother(Call call, FailurePoint point) {
        return call.outcome.recordFailureAfterDispatch(point);
    }

    final void dispatch(Call call) {
        if (!call.run.canDispatch(now())) {
            fail(call, FailurePoint.DEADLINE_BEFORE_DISPATCH);
            return;
        }
        send(call);
    }

    final void send(Call call) {
        SimulatedServer server = world.pickServer();
        if (!server.isUp()) {
            if (call.outcome.recordFailureBeforeDispatch(FailurePoint.BACKEND_UNREACHABLE)) {
                tryAnother(call, FailurePoint.BACKEND_UNREACHABLE);
            } else {
                fail(call, FailurePoint.BACKEND_UNREACHABLE);
            }
            return;
        }
        call.outcome.recordDispatch();
        server.send(
                call.request.id().value(),
                call.request.key().key(),
                r -> deliver(Duration.ZERO, () -> replied(call, r)));
        MonotonicTime deadline = call.request.deadline();
        deliver(deadline.since(now()), () -> fail(call, FailurePoint.DEADLINE));
    }

    private void replied(Call call, SimulatedServer.Reply reply) {
        if (!calls.containsKey(call.request.id())) {
            return;
        }
        switch (reply) {
            case SimulatedServer.Reply.Whole w -> {
                call.outcome.recordAnswer();
                tellAnswer(call, w.answer());
                end(call, new AttemptResult.Answered(w.answer()));
            }
            case SimulatedServer.Reply.Failed f -> {
                if (mayTryAnother(call, f.point())) {
                    tryAnother(call, f.point());
                } else {
                    fail(call, f.point());
                }
            }
        }
    }

    private void tryAnother(Call call, FailurePoint last) {
        if (++call.serversTried >= MAX_SERVERS_TRIED) {
            fail(call, last);
        } else {
            deliver(Duration.ofMillis(world.random().nextLong(1, 50)), () -> dispatch(call));
        }
    }

    private void fail(Call call, FailurePoint point) {
        if (calls.containsKey(call.request.id())) {
            tell(call, call.outcome.outcomeAfter(point), "");
            end(call, endOf(call));
        }
    }

    private void end(Call call, AttemptResult result) {
        if (call.run != null) {
            carryOut(claims.recordResult(call.run.attempt(), result, now()));
        }
    }

    private void tick() {
        carryOut(claims.tick(now()));
        deliver(TICK, this::tick);
    }

    private void carryOut(List<ClaimEffect> effects) {
        for (ClaimEffect e : effects) {
            switch (e) {
                case ClaimEffect.Write w ->
                    world.table()
                            .write(
                                    w.changes(),
                                    r -> deliver(
                                            Duration.ZERO,
                                            () -> carryOut(claims.handleWriteResult(w.number(), r, now()))));
                case ClaimEffect.AskHolder a -> world.ask(this, a.number(), a.attempt());
                case ClaimEffect.AnswerPeer a -> world.answer(a.question(), a.result());
                case ClaimEffect.Decide d -> decided(calls.get(d.request()), d.verdict());
            }
        }
    }

    private void decided(Call call, ClaimVerdict verdict) {
        if (call == null) {
            return;
        }
        switch (verdict) {
            case ClaimVerdict.Run r -> {
                call.run = r;
                deliver(Duration.ofMillis(world.random().nextLong(1, 20)), () -> dispatch(call));
            }
            case ClaimVerdict.Replay r -> tellAnswer(call, r.answer());
            case ClaimVerdict.Refuse r -> tell(call, r.point().outcome(), "");
        }
    }

    private void tellAnswer(Call call, StoredAnswer answer) {
        byte[] body = answer.body() instanceof StoredAnswer.Body.Inline b ? b.bytes() : new byte[0];
        tell(call, Outcome.ANSWERED, new String(body, StandardCharsets.UTF_8));
    }

    private void tell(Call call, Outcome outcome, String answer) {
        calls.remove(call.request.id());
        call.tell.accept(new History.Told(call.request.id().value(), outcome, answer, false));
    }

    private MonotonicTime now() {
        return world.queue().now();
    }

    static Instant received(MonotonicTime now) {
        return Instant.ofEpochSecond(0, now.nanos());
    }
}
