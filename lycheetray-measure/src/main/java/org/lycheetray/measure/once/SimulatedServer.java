package org.lycheetray.measure.once;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.StoredAnswer;

/** Backend server in virtual time that crashes, sheds and loses or truncates its answers. */
final class SimulatedServer {
    private static final Duration RESTART = Duration.ofSeconds(1);
    private static final int CREATED = 201;
    private static final int SHORTEST_RUN_MS = 5;
    private static final int LONGEST_RUN_MS = 300;

    private final String name;
    private final EventQueue queue;
    private final RandomGenerator random;
    private final FaultPlan plan;
    private final History history;
    private int life;
    private boolean up = true;
    private long runs;
    private int lostAnswers;

    /** What a VM learns of a request that it sent. */
    sealed interface Reply {
        /** The whole answer. */
        record Whole(StoredAnswer answer) implements Reply {}

        /** Anything else. */
        record Failed(FailurePoint point) implements Reply {}
    }

    SimulatedServer(String name, EventQueue queue, RandomGenerator random, FaultPlan plan, History history) {
        this.name = name;
        this.queue = queue;
        this.random = random;
        this.plan = plan;
        this.history = history;
    }

    void crash() {
        life++;
        up = false;
        queue.after(RESTART, () -> up = true);
    }

    boolean isUp() {
        return up;
    }

    void send(String request, String key, Consumer<Reply> reply) {
        if (random.nextDouble() < plan.shed()) {
            reply(reply, new Reply.Failed(FailurePoint.SHED));
            return;
        }
        boolean late = random.nextDouble() < plan.dispatchLate();
        queue.after(millis(1, late ? 8000 : 10), () -> arrive(request, key, reply));
    }

    private void arrive(String request, String key, Consumer<Reply> reply) {
        if (!up) {
            lose(FailurePoint.BACKEND_FAILED, reply);
            return;
        }
        String text = key + "/run-" + ++runs + "-of-" + name;
        history.add(new History.Execution(request, key, text));
        int started = life;
        queue.after(millis(SHORTEST_RUN_MS, LONGEST_RUN_MS), () -> finish(text, started, reply));
    }

    private void finish(String text, int started, Consumer<Reply> reply) {
        if (life != started) {
            lose(FailurePoint.BACKEND_FAILED, reply);
        } else if (random.nextDouble() < plan.answerCut()) {
            lose(FailurePoint.BACKEND_FAILED, reply);
        } else {
            byte[] body = text.getBytes(StandardCharsets.UTF_8);
            reply(reply, new Reply.Whole(new StoredAnswer(CREATED, List.of(), StoredAnswer.Body.Inline.of(body))));
        }
    }

    /** Counts runs whose answer was lost, cut or never came because the server crashed. */
    int lostAnswers() {
        return lostAnswers;
    }

    private void lose(FailurePoint point, Consumer<Reply> reply) {
        lostAnswers++;
        reply(reply, new Reply.Failed(point));
    }

    private void reply(Consumer<Reply> to, Reply r) {
        queue.after(millis(1, 10), () -> to.accept(r));
    }

    private Duration millis(long from, long to) {
        return Duration.ofMillis(random.nextLong(from, to + 1));
    }
}
