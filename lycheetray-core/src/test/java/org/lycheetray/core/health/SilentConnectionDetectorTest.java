package org.lycheetray.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.health.SilentConnectionDetector.ConnectionId;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.time.MonotonicTime;

class SilentConnectionDetectorTest {
    private static final BackendServerName SERVER = new BackendServerName("b0");
    private static final ConnectionId OLD = new ConnectionId(SERVER, "old");
    private static final ConnectionId NEW = new ConnectionId(SERVER, "new");
    private static final Duration SILENCE_TIMEOUT = Duration.ofSeconds(1);
    private static final MonotonicTime AFTER_TIMEOUT = MonotonicTime.ZERO.plus(SILENCE_TIMEOUT);

    private final SilentConnectionDetector detector = new SilentConnectionDetector(SILENCE_TIMEOUT);

    @Test
    void findsAConnectionOvertakenByAnother() {
        detector.recordSent(OLD, MonotonicTime.ZERO);
        detector.recordSent(NEW, MonotonicTime.ZERO.plus(Duration.ofMillis(1)));
        detector.recordReceived(NEW);
        assertThat(detector.silentConnections(AFTER_TIMEOUT)).containsExactly(OLD);
    }

    @Test
    void findsNoneWhenAllConnectionsAreSilent() {
        detector.recordSent(OLD, MonotonicTime.ZERO);
        detector.recordSent(NEW, MonotonicTime.ZERO);
        assertThat(detector.silentConnections(AFTER_TIMEOUT)).isEmpty();
    }
}
