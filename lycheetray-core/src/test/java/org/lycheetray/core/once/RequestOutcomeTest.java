package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RouteClass;

class RequestOutcomeTest {
    private final RequestOutcome once = new RequestOutcome(RouteClass.ONCE);

    @Test
    void isNotRunBeforeDispatch() {
        assertThat(once.outcomeAt(FailurePoint.NO_CAPACITY)).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void isUnknownWhileDispatchedRegardlessOfFailurePoint() {
        once.dispatched();
        assertThat(once.outcomeAt(FailurePoint.BACKEND_UNREACHABLE)).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void permitsAnotherServerAfterDeclaredShed() {
        once.dispatched();
        assertThat(once.failedAfterDispatch(FailurePoint.SHED)).isTrue();
        once.dispatched();
        once.answered();
        assertThat(once.outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void permitsNoRetryAfterLostAnswerOfOnceRequest() {
        once.dispatched();
        assertThat(once.failedAfterDispatch(FailurePoint.BACKEND_FAILED)).isFalse();
        assertThat(once.failedBeforeDispatch(FailurePoint.BACKEND_UNREACHABLE)).isFalse();
        assertThatThrownBy(once::dispatched).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void permitsRetryOfReadUntilAnswerWasStarted() {
        RequestOutcome read = new RequestOutcome(RouteClass.READ);
        read.dispatched();
        assertThat(read.failedAfterDispatch(FailurePoint.BACKEND_FAILED)).isTrue();
        read.dispatched();
        read.recordAnswerStarted();
        assertThat(read.failedAfterDispatch(FailurePoint.BACKEND_FAILED)).isFalse();
        assertThat(read.outcomeAt(FailurePoint.BACKEND_FAILED)).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void documentedTableMatchesFailurePoints() throws IOException {
        assertThat(Files.readString(Path.of("../docs/OUTCOMES.md"))).contains(FailurePoint.markdown());
    }
}
