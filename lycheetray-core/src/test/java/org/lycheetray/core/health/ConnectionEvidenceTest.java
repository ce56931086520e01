package org.lycheetray.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.health.ConnectionEvidence.ConnectionId;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

class ConnectionEvidenceTest {
    private static final BackendServerName SERVER = new BackendServerName("b0");
    private static final ConnectionId OLD = new ConnectionId(SERVER, "old");
    private static final ConnectionId NEW = new ConnectionId(SERVER, "new");
    private static final Duration LIMIT = Duration.ofSeconds(1);
    private static final MonotonicTime LATER = MonotonicTime.ZERO.plus(LIMIT);

    private final ConnectionEvidence evidence = new ConnectionEvidence(LIMIT);

    @Test
    void findsAConnectionThatOthersOvertook() {
        evidence.sent(OLD, MonotonicTime.ZERO);
        evidence.sent(NEW, MonotonicTime.ZERO.plus(Duration.ofMillis(1)));
        evidence.received(NEW);
        assertThat(evidence.silent(LATER)).containsExactly(OLD);
    }

    @Test
    void saysNothingWhenAllConnectionsAreQuiet() {
        evidence.sent(OLD, MonotonicTime.ZERO);
        evidence.sent(NEW, MonotonicTime.ZERO);
        assertThat(evidence.silent(LATER)).isEmpty();
    }
}
