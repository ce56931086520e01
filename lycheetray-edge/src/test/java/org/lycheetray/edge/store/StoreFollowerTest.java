package org.lycheetray.edge.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.edge.EdgeSettingsFixture;
import org.lycheetray.edge.exchange.TrafficSteering;
import reactor.core.publisher.Mono;

/**
 * Tests that a pending long poll is cancelled and sent again when another VM stays ahead, as happens when the network
 * loses a call without closing its connection. The store here answers the first listing and no later call.
 */
class StoreFollowerTest {
    private static final Duration STEP = Duration.ofMillis(100);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicInteger cancelled = new AtomicInteger();
    private final ManualClock clock = new ManualClock();
    private final StoreFollower follower = new StoreFollower(
            new UnresponsiveStore(),
            new TrafficSteering(EdgeSettingsFixture.vm("vm", "dc", Map.of("dc", "region")), clock, random()),
            loop,
            clock,
            random());

    @AfterEach
    void stop() {
        onLoop(follower::stop);
        loop.shutdownGracefully(0, 0, TimeUnit.SECONDS).syncUninterruptibly();
    }

    @Test
    void pendingCallIsReplacedWhenAnotherVmStaysAhead() {
        startAndAwaitFirstCall();

        for (int i = 0; i < 7; i++) {
            advanceAndRecordPeerVersion(8);
        }

        assertThat(calls).hasValue(2);
        assertThat(cancelled).hasValue(1);
    }

    @Test
    void briefLeadOfAnotherVmCancelsNoCall() {
        startAndAwaitFirstCall();

        for (int i = 0; i < 4; i++) {
            advanceAndRecordPeerVersion(8);
        }

        assertThat(calls).hasValue(1);
        assertThat(cancelled).hasValue(0);
    }

    @Test
    void upToDateVmKeepsItsCall() {
        startAndAwaitFirstCall();

        for (int i = 0; i < 40; i++) {
            advanceAndRecordPeerVersion(UnresponsiveStore.VERSION);
        }

        assertThat(calls).hasValue(1);
    }

    private void startAndAwaitFirstCall() {
        onLoop(() -> follower.start(() -> {}));
        while (calls.get() == 0) {
            Thread.onSpinWait();
        }
    }

    private void advanceAndRecordPeerVersion(long version) {
        clock.now = clock.now.plus(STEP);
        onLoop(() -> follower.recordPeerVersion(Topic.OPERATOR, version, UnresponsiveStore.VERSION));
    }

    private void onLoop(Runnable task) {
        loop.submit(task).syncUninterruptibly();
    }

    private static SplittableRandom random() {
        return new SplittableRandom(1);
    }

    /** Store that never answers long polls; counts those for operator records, and how many of them were cancelled. */
    private final class UnresponsiveStore implements ReadOnlyFleetStore {
        static final long VERSION = 5;

        @Override
        public Mono<RecordBatch> readAll(Topic topic) {
            return Mono.just(new RecordBatch(List.of(), VERSION, 0, 0));
        }

        @Override
        public Mono<RecordBatch> awaitChanges(Topic topic, long from, Duration wait) {
            if (topic != Topic.OPERATOR) {
                return Mono.never();
            }
            calls.incrementAndGet();
            return Mono.<RecordBatch>never().doOnCancel(cancelled::incrementAndGet);
        }
    }
}
