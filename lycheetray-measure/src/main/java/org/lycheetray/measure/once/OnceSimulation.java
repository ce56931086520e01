package org.lycheetray.measure.once;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.once.AttemptId;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.ClaimKey;
import org.lycheetray.core.once.ClaimRequest;
import org.lycheetray.core.once.PeerQuestion;
import org.lycheetray.core.once.RequestDigest;

/** One fault schedule: callers, entry VMs, a table and backend servers in virtual time, drawn from one seed. */
final class OnceSimulation {
    private static final int VMS = 3;
    private static final int SERVERS = 4;
    private static final int KEYS = 40;
    private static final int MAX_SENDINGS = 5;
    private static final int FAULTS_UNTIL_MS = 20_000;
    private static final double TWICE_AT_ONCE = 0.2;
    private static final double OTHER_CONTENT = 0.03;
    private static final double RESPONSE_LOST = 0.05;
    private static final double RESENT_AFTER_ANSWER = 0.1;
    private static final Duration END = Duration.ofMinutes(2);
    private static final ClientAccountName ACCOUNT = new ClientAccountName("account");

    private final EventQueue queue = new EventQueue();
    private final History history = new History();
    private final RandomGenerator random;
    private final FaultPlan plan;
    private final FakeTable table;
    private final BiFunction<OnceSimulation, Incarnation, SimulatedVm> factory;
    private final List<SimulatedVm> vms = new ArrayList<>();
    private final List<SimulatedServer> servers = new ArrayList<>();
    private long lives;
    private long sendings;
    private int inFlightAtCrash;

    OnceSimulation(long seed, BiFunction<OnceSimulation, Incarnation, SimulatedVm> factory) {
        random = new Random(seed);
        plan = FaultPlan.draw(random);
        table = new FakeTable(queue, random, plan);
        this.factory = factory;
        for (int i = 0; i < VMS; i++) {
            vms.add(start(new VmName("vm-" + i)));
        }
        for (int i = 0; i < SERVERS; i++) {
            servers.add(new SimulatedServer("server-" + i, queue, random, plan, history));
        }
    }

    History run() {
        repeat(plan.outages(), () -> table.goDown(upTo(FaultPlan.LONGEST_OUTAGE)));
        repeat(plan.vmDeaths(), this::killVm);
        repeat(plan.vmPauses(), () -> pickVm().pause(upTo(FaultPlan.LONGEST_PAUSE)));
        repeat(plan.serverCrashes(), () -> pickServer().crash());
        for (int i = 0; i < KEYS; i++) {
            String key = "key-" + i;
            sometime(() -> send(key, "content", 1));
            if (random.nextDouble() < TWICE_AT_ONCE) {
                sometime(() -> {
                    send(key, "content", MAX_SENDINGS);
                    send(key, "content", MAX_SENDINGS);
                });
            }
            if (random.nextDouble() < OTHER_CONTENT) {
                sometime(() -> send(key, "other", MAX_SENDINGS));
            }
        }
        queue.runUntil(queue.now().plus(END));
        return history;
    }

    EventQueue queue() {
        return queue;
    }

    FakeTable table() {
        return table;
    }

    RandomGenerator random() {
        return random;
    }

    int runs() {
        return history.events(History.Execution.class).size();
    }

    /** Counts requests that were open on a VM as it died, or whose run lost its answer. */
    int inFlightAtCrash() {
        return inFlightAtCrash
                + servers.stream().mapToInt(SimulatedServer::lostAnswers).sum();
    }

    SimulatedServer pickServer() {
        return servers.get(random.nextInt(SERVERS));
    }

    void ask(SimulatedVm asker, long number, AttemptId attempt) {
        PeerQuestion question = new PeerQuestion(asker.self(), number);
        if (random.nextDouble() >= plan.peerLost()) {
            vms.stream()
                    .filter(v -> v.self().vm().equals(attempt.holder().vm()))
                    .forEach(v -> v.deliver(hop(), () -> v.ask(question, attempt)));
        }
    }

    void answer(PeerQuestion question, AttemptResult result) {
        if (random.nextDouble() >= plan.peerLost()) {
            vms.stream()
                    .filter(v -> v.self().equals(question.asker()))
                    .forEach(v -> v.deliver(hop(), () -> v.answer(question.number(), result)));
        }
    }

    private SimulatedVm start(VmName name) {
        return factory.apply(this, new Incarnation(name, ++lives));
    }

    private SimulatedVm pickVm() {
        return vms.get(random.nextInt(VMS));
    }

    private void killVm() {
        int i = random.nextInt(VMS);
        SimulatedVm old = vms.get(i);
        inFlightAtCrash += old.die();
        vms.set(i, start(old.self().vm()));
    }

    private void send(String key, String content, int count) {
        SimulatedVm vm = pickVm();
        String id = "request-" + ++sendings;
        History.Sent sent = new History.Sent(id, key, content);
        history.add(sent);
        ClaimRequest request = new ClaimRequest(
                new RequestId(id),
                new ClaimKey(Optional.of(ACCOUNT), key),
                RequestDigest.of("POST", "host", content, new byte[0]),
                queue.now().plus(SimulatedVm.TIMEOUT),
                SimulatedVm.received(queue.now()));
        vm.accept(request, t -> told(t, key, content, count));
    }

    private void told(History.Told t, String key, String content, int count) {
        boolean lost = t.excused() || random.nextDouble() < RESPONSE_LOST;
        history.add(lost ? new History.Told(t.request(), t.outcome(), "", true) : t);
        boolean satisfied = !lost && t.outcome() == Outcome.ANSWERED && random.nextDouble() >= RESENT_AFTER_ANSWER;
        if (!satisfied && count < MAX_SENDINGS) {
            queue.after(Duration.ofMillis(random.nextLong(1, 2000)), () -> send(key, content, count + 1));
        }
    }

    private void repeat(int times, Runnable fault) {
        for (int i = 0; i < times; i++) {
            sometime(fault);
        }
    }

    private void sometime(Runnable action) {
        queue.after(Duration.ofMillis(random.nextLong(FAULTS_UNTIL_MS)), action);
    }

    private Duration upTo(Duration longest) {
        return Duration.ofMillis(random.nextLong(1, longest.toMillis()));
    }

    private Duration hop() {
        return Duration.ofMillis(random.nextLong(1, 20));
    }
}
