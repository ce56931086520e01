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
        assertThat(once.outcomeAfter(FailurePoint.NO_CAPACITY)).isEqualTo(Outcome.NOT_RUN);
    }

    @Test
    void isUnknownWhileDispatchedRegardlessOfFailurePoint() {
        once.recordDispatch();
        assertThat(once.outcomeAfter(FailurePoint.BACKEND_UNREACHABLE)).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void permitsAnotherServerAfterDeclaredShed() {
        once.recordDispatch();
        assertThat(once.recordFailureAfterDispatch(FailurePoint.SHED)).isTrue();
        once.recordDispatch();
        once.recordAnswer();
        assertThat(once.outcome()).isEqualTo(Outcome.ANSWERED);
    }

    @Test
    void permitsNoRetryAfterLostAnswerOfOnceRequest() {
        once.recordDispatch();
        assertThat(once.recordFailureAfterDispatch(FailurePoint.BACKEND_FAILED)).isFalse();
        assertThat(once.recordFailureBeforeDispatch(FailurePoint.BACKEND_UNREACHABLE))
                .isFalse();
        assertThatThrownBy(once::recordDispatch).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void permitsRetryOfReadUntilAnswerWasStarted() {
        RequestOutcome read = new RequestOutcome(RouteClass.READ);
        read.recordDispatch();
        assertThat(read.recordFailureAfterDispatch(FailurePoint.BACKEND_FAILED)).isTrue();
        read.recordDispatch();
        read.recordAnswerStarted();
        assertThat(read.recordFailureAfterDispatch(FailurePoint.BACKEND_FAILED)).isFalse();
        assertThat(read.outcomeAfter(FailurePoint.BACKEND_FAILED)).isEqualTo(Outcome.UNKNOWN);
    }

    @Test
    void documentedTableMatchesFailurePoints() throws IOException {
        assertThat(Files.readString(Path.of("../docs/OUTCOMES.md"))).contains(FailurePoint.markdown());
    }
}
