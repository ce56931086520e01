package org.lycheetray.measure.once;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Outcome;

class HistoryCheckerTest {
    private final History history = new History();

    @Test
    void findsADoubleRun() {
        send("r1").run("r1", "a1").run("r1", "a2").tell("r1", Outcome.ANSWERED, "a2");
        assertThat(HistoryChecker.check(history).doubleRuns()).isEqualTo(1);
    }

    @Test
    void findsAFalseNotRun() {
        send("r1").tell("r1", Outcome.NOT_RUN, "").run("r1", "a1");
        assertThat(HistoryChecker.check(history).falseNotRun()).isEqualTo(1);
    }

    @Test
    void findsAPartialAnswer() {
        send("r1").run("r1", "a1").tell("r1", Outcome.ANSWERED, "a");
        assertThat(HistoryChecker.check(history).wrongAnswers()).isEqualTo(1);
    }

    @Test
    void findsARequestThatWasToldNothing() {
        send("r1");
        assertThat(HistoryChecker.check(history).untold()).isEqualTo(1);
    }

    @Test
    void acceptsNotRunOfAResend() {
        send("r1").send("r2").run("r1", "a1").tell("r2", Outcome.NOT_RUN, "").tell("r1", Outcome.UNKNOWN, "");
        assertThat(HistoryChecker.check(history).isBroken()).isFalse();
        assertThat(HistoryChecker.check(history).notRunBesideRun()).isEqualTo(1);
    }

    private HistoryCheckerTest send(String request) {
        history.add(new History.Sent(request, "k", "content"));
        return this;
    }

    private HistoryCheckerTest run(String request, String answer) {
        history.add(new History.Execution(request, "k", answer));
        return this;
    }

    private HistoryCheckerTest tell(String request, Outcome outcome, String answer) {
        history.add(new History.Told(request, outcome, answer, false));
        return this;
    }
}
