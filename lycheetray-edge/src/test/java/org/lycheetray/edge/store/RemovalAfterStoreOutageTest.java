package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheetray.edge.store.FollowerFixture.STEP;
import static org.lycheetray.edge.store.FollowerFixture.gone;
import static org.lycheetray.edge.store.FollowerFixture.server;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests for how long a backend server without an entry is used after the store was unavailable. */
class RemovalAfterStoreOutageTest {
    private static final int SERVERS = 12;

    /** Time for which a server that leaves still accepts requests. */
    private static final Duration DRAIN_TIME = Duration.ofSeconds(2);

    /** Longest time from a change in the store until a VM that reaches it has read the change. */
    private static final Duration READING_DELAY = Duration.ofMillis(500);

    private static final String SERVER = "s0";

    private final FollowerFixture fixture = new FollowerFixture();
    private final RestorableStore store = fixture.store();

    @BeforeEach
    void start() {
        IntStream.range(0, SERVERS).forEach(i -> store.write(Topic.SERVERS, server("s" + i, false, 1)));
        fixture.start();
    }

    @AfterEach
    void stop() {
        fixture.close();
    }

    @Test
    void serverThatLeavesThreeSecondsAfterTheStoreReturnedReceivesNoRequestsTwoSecondsLater() {
        refuseCallsFor(Duration.ofSeconds(9));
        advance(Duration.ofSeconds(3));

        store.write(Topic.SERVERS, gone(SERVER));
        advance(DRAIN_TIME);

        assertThat(isUsed(SERVER)).isFalse();
    }

    @Test
    void entryThatStaysMissingIsRemovedTwoSecondsAfterTheFirstAnswer() {
        refuseCallsFor(Duration.ofSeconds(9));
        while (!store.hasAnsweredEachTopic()) {
            advance(STEP);
        }
        advance(Duration.ofMillis(1_300));

        store.write(Topic.SERVERS, gone(SERVER));
        advance(Duration.ofMillis(500));
        assertThat(isUsed(SERVER)).isTrue();

        advance(Duration.ofMillis(500));
        assertThat(isUsed(SERVER)).isFalse();
    }

    @Test
    void entryThatReappearsAfterTheStoreReturnedStaysInUse() {
        refuseCallsFor(Duration.ofSeconds(9));

        store.write(Topic.SERVERS, gone(SERVER));
        advance(Duration.ofSeconds(1));
        store.write(Topic.SERVERS, server(SERVER, false, 1));
        advance(Duration.ofSeconds(5));

        assertThat(isUsed(SERVER)).isTrue();
    }

    @Test
    void manyServersThatLeaveTogetherReceiveNoRequestsTwoSecondsLater() {
        List<String> leaving = IntStream.range(0, 4).mapToObj(i -> "s" + i).toList();

        store.write(Topic.SERVERS, leaving.stream().map(FollowerFixture::gone).toArray(StoreRecord[]::new));
        advance(DRAIN_TIME.minus(READING_DELAY));

        assertThat(leaving).noneMatch(this::isUsed);
    }

    private void refuseCallsFor(Duration time) {
        store.refuse(true);
        advance(time);
        store.refuse(false);
    }

    private void advance(Duration time) {
        fixture.advance(time);
    }

    private boolean isUsed(String server) {
        return fixture.serverNames().contains(server);
    }
}
