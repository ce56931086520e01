package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class EdgePathTest {
    private static final long TIMEOUT_S = 20;

    private EdgeFixture edge;
    private ScriptedBackendServer first;
    private ScriptedBackendServer second;

    @BeforeEach
    void start() throws IOException {
        edge = new EdgeFixture();
        first = new ScriptedBackendServer(ScriptedBackendServer.signed("first"));
        second = new ScriptedBackendServer(ScriptedBackendServer.signed("second"));
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        first.close();
        second.close();
    }

    private void startEdgeWith(ScriptedBackendServer... servers) throws IOException, InterruptedException {
        edge.configure(1);
        int n = 0;
        for (ScriptedBackendServer s : servers) {
            edge.register("s-" + n++, s, false);
        }
        edge.awaitReady();
    }

    @Test
    void answerIsReturnedUnchanged() throws Exception {
        startEdgeWith(first);

        EdgeFixture.Reply r = edge.request(EdgeFixture.post("/order/1?a=b", "q1", "body"));

        assertThat(r.status()).isEqualTo(200);
        assertThat(r.body()).isEqualTo("first");
        assertThat(r.hasHeader("X-Signed")).isTrue();
        ScriptedBackendServer.Request received = first.requests().getFirst();
        assertThat(received.head()).startsWith("POST /order/1?a=b HTTP/1.1");
        assertThat(received.body()).isEqualTo("body");
        assertThat(received.header("X-Id")).isEqualTo("q1");
        assertThat(received.header("X-Server")).isEqualTo("s-0");
    }

    @Test
    void requestWithoutConfigurationIsRefusedWithRetryAfter() throws Exception {
        edge.start();
        EdgeFixture.Reply r = edge.request(EdgeFixture.get("/read/1", "q1", ""));

        assertThat(r.status()).isEqualTo(503);
        assertThat(r.hasHeader("Retry-After")).isTrue();
    }

    @Test
    void keyIsReplacedByItsAccount() throws Exception {
        edge.configure(1, EdgeFixture.acme(100, 100));
        edge.register("s-0", first, false);
        edge.awaitReady();

        EdgeFixture.Reply known = edge.request(
                EdgeFixture.get("/read/1", "q1", "X-Secret: " + EdgeFixture.KEY + "\r\nX-Account: somebody-else\r\n"));
        EdgeFixture.Reply unknown = edge.request(EdgeFixture.get("/read/1", "q2", "X-Secret: wrong\r\n"));
        EdgeFixture.Reply noRoute = edge.request(EdgeFixture.get("/none/1", "q3", ""));

        assertThat(known.status()).isEqualTo(200);
        assertThat(unknown.status()).isEqualTo(401);
        assertThat(noRoute.status()).isEqualTo(404);
        assertThat(first.requests()).hasSize(1);
        assertThat(first.requests().getFirst().header("X-Account")).isEqualTo("acme");
        assertThat(first.requests().getFirst().head()).doesNotContain(EdgeFixture.KEY);
    }

    @Test
    void accountOverItsRateIsRefusedWithRetryAfter() throws Exception {
        edge.configure(1, EdgeFixture.acme(0.001, 0));
        edge.register("s-0", first, false);
        edge.awaitReady();

        EdgeFixture.Reply last = null;
        for (int i = 0; i < 20; i++) {
            last = edge.request(EdgeFixture.get("/read/1", "q" + i, "X-Secret: " + EdgeFixture.KEY + "\r\n"));
        }

        assertThat(last.status()).isEqualTo(429);
        assertThat(last.hasHeader("Retry-After")).isTrue();
        assertThat(first.requests()).hasSizeLessThan(20);
    }

    @Test
    void idempotentRequestIsRetriedOnAnotherServerAfterConnectionLoss() throws Exception {
        first.script((r, out, s) -> s.close());
        startEdgeWith(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.request(EdgeFixture.get("/read/1", "q" + i, "")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void requestThatMayHaveRunIsNeitherRetriedNorReportedAsNotRun() throws Exception {
        first.script((r, out, s) -> s.close());
        startEdgeWith(first);

        EdgeFixture.Reply r = edge.request(EdgeFixture.post("/order/1", "q1", "x"));

        assertThat(r.status()).isEqualTo(502);
        assertThat(first.requests()).hasSize(1);
    }

    @Test
    void shedRequestIsRetriedOnAnotherServerEvenIfNotIdempotent() throws Exception {
        first.script((r, out, s) -> ScriptedBackendServer.write(
                out,
                "HTTP/1.1 503 Busy\r\nX-Id: " + r.header("X-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        startEdgeWith(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.request(EdgeFixture.post("/order/1", "q" + i, "x")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void answerToAnotherRequestIsIgnored() throws Exception {
        first.script((r, out, s) -> ScriptedBackendServer.write(
                out,
                ScriptedBackendServer.signedAnswer("other", "wrong")
                        + ScriptedBackendServer.signedAnswer(r.header("X-Id"), "right")));
        startEdgeWith(first);

        assertThat(edge.request(EdgeFixture.get("/read/1", "q1", "")).body()).isEqualTo("right");
    }

    @Test
    void surplusBytesAfterAnAnswerAreDiscarded() throws Exception {
        first.script((r, out, s) -> ScriptedBackendServer.write(
                out,
                ScriptedBackendServer.signedAnswer(r.header("X-Id"), "right")
                        + ScriptedBackendServer.signedAnswer(r.header("X-Id"), "again")));
        startEdgeWith(first);

        for (int i = 0; i < 5; i++) {
            assertThat(edge.request(EdgeFixture.get("/read/1", "q" + i, "")).body())
                    .isEqualTo("right");
        }
    }

    @Test
    void truncatedAnswerIsNotDelivered() throws Exception {
        first.script((r, out, s) -> {
            ScriptedBackendServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id")
                            + "\r\nX-Signed: 1\r\nContent-Length: 100\r\n\r\nhalf");
            s.close();
        });
        startEdgeWith(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.request(EdgeFixture.get("/read/1", "q" + i, "")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void answerWithoutLengthCountsOnlyIfItsConnectionIsClosedCleanly() throws Exception {
        first.script((r, out, s) -> {
            ScriptedBackendServer.write(
                    out, "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id") + "\r\nX-Signed: 1\r\n\r\nwhole");
            if (r.header("X-Id").equals("reset")) {
                s.setSoLinger(true, 0);
            }
            s.close();
        });
        startEdgeWith(first);

        assertThat(edge.request(EdgeFixture.get("/read/1", "q1", "")).body()).isEqualTo("whole");
        assertThat(edge.request(EdgeFixture.post("/order/1", "reset", "x")).status())
                .isEqualTo(502);
    }

    @Test
    void unsignedSuccessIsNotDelivered() throws Exception {
        first.script((r, out, s) -> ScriptedBackendServer.write(
                out, "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id") + "\r\nContent-Length: 4\r\n\r\nfake"));
        startEdgeWith(first);

        assertThat(edge.request(EdgeFixture.post("/order/1", "q1", "x")).status())
                .isEqualTo(502);
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        CountDownLatch secondArrived = new CountDownLatch(1);
        first.script((r, out, s) -> {
            if (r.header("X-Id").equals("q1")) {
                await(secondArrived);
            } else {
                secondArrived.countDown();
            }
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), r.header("X-Id")));
        });
        startEdgeWith(first);
        Socket caller = edge.caller();

        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", "") + EdgeFixture.get("/read/2", "q2", ""));

        BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q1");
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q2");
    }

    @Test
    void connectionToServerIsClosedWhenTheCallerDisconnects() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        first.script((r, out, s) -> arrived.countDown());
        startEdgeWith(first);
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        await(arrived);

        caller.close();

        assertThat(first.callerDisconnected().await(TIMEOUT_S, TimeUnit.SECONDS))
                .isTrue();
    }

    @Test
    void drainingServerReceivesNoRequests() throws Exception {
        edge.configure(1);
        edge.register("s-0", first, true);
        edge.register("s-1", second, false);
        edge.awaitReady();

        for (int i = 0; i < 6; i++) {
            assertThat(edge.request(EdgeFixture.get("/read/1", "q" + i, "")).body())
                    .isEqualTo("second");
        }
        assertThat(first.requests()).isEmpty();
    }

    @Test
    void overdueIdempotentRequestIsSentToAnotherServer() throws Exception {
        first.script((r, out, s) -> {});
        startEdgeWith(first, second);

        for (int i = 0; i < 3; i++) {
            assertThat(edge.request(EdgeFixture.get("/quick/" + i, "q" + i, "")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void slowerHedgedAttemptIsCancelled() throws Exception {
        AtomicReference<ScriptedBackendServer> unanswered = new AtomicReference<>();
        first.script((r, out, s) -> {
            if (!unanswered.compareAndSet(null, first)) {
                ScriptedBackendServer.signed("late").answer(r, out, s);
            }
        });
        second.script((r, out, s) -> {
            if (!unanswered.compareAndSet(null, second)) {
                ScriptedBackendServer.signed("late").answer(r, out, s);
            }
        });
        startEdgeWith(first, second);

        assertThat(edge.request(EdgeFixture.get("/quick/1", "q1", "")).body()).isEqualTo("late");

        assertThat(unanswered.get().callerDisconnected().await(TIMEOUT_S, TimeUnit.SECONDS))
                .isTrue();
        assertThat(first.requests()).hasSize(1);
        assertThat(second.requests()).hasSize(1);
    }

    @Test
    void overdueAtMostOnceRequestIsNotSentAgain() throws Exception {
        first.script((r, out, s) -> {});
        second.script((r, out, s) -> {});
        startEdgeWith(first, second);

        String request =
                EdgeFixture.post("/quick-order/1", "q1", "x").replace("\r\n\r\n", "\r\nX-Patience: 1500\r\n\r\n");

        assertThat(edge.request(request).status()).isEqualTo(504);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
    }

    @Test
    void removedServerWithSeveralIdleConnectionsDoesNotStopUpdates() throws Exception {
        CountDownLatch allArrived = new CountDownLatch(3);
        first.script((r, out, s) -> {
            allArrived.countDown();
            await(allArrived);
            ScriptedBackendServer.signed("first").answer(r, out, s);
        });
        startEdgeWith(first);
        Socket[] callers = new Socket[3];
        for (int i = 0; i < callers.length; i++) {
            callers[i] = edge.caller();
            EdgeFixture.send(callers[i], EdgeFixture.get("/read/1", "q" + i, ""));
        }
        for (Socket c : callers) {
            assertThat(EdgeFixture.read(new BufferedInputStream(c.getInputStream()))
                            .status())
                    .isEqualTo(200);
        }

        edge.unregister("s-0");
        edge.awaitStatus("/read/1", 503);
        edge.register("s-1", second, false);
        edge.awaitStatus("/read/1", 200);

        assertThat(edge.request(EdgeFixture.get("/read/1", "last", "")).body()).isEqualTo("second");
    }

    /** Guards against closing the connection of a request whose timeout overflows the time of its deadline. */
    @Test
    void requestWithAnEndlessTimeoutIsAnswered() throws Exception {
        startEdgeWith(first);

        EdgeFixture.Reply r = edge.request(EdgeFixture.get("/read/1", "q1", "X-Patience: " + Long.MAX_VALUE + "\r\n"));

        assertThat(r.body()).isEqualTo("first");
    }

    @Test
    void requestWithTwoLengthsIsRejected() throws Exception {
        startEdgeWith(first);

        String head = EdgeFixture.post("/order/1", "q1", "").replace("Content-Length: 0", "Content-Length: 4");
        EdgeFixture.Reply r = edge.request(head.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));

        assertThat(r.status()).isEqualTo(400);
        assertThat(first.requests()).isEmpty();
    }

    @Test
    void plannedStopFinishesRunningRequests() throws Exception {
        edge.close();
        edge = new EdgeFixture(Duration.ofSeconds(30));
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        first.script((r, out, s) -> {
            arrived.countDown();
            await(release);
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), "late but whole"));
        });
        startEdgeWith(first);
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        await(arrived);

        Thread stop = Thread.ofPlatform().start(edge.edge()::close);
        while (edge.readiness().status() == 200) {
            Thread.sleep(5);
        }
        assertThat(edge.lookup().status()).isEqualTo(503);
        release.countDown();

        assertThat(EdgeFixture.read(new BufferedInputStream(caller.getInputStream()))
                        .body())
                .isEqualTo("late but whole");
        stop.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        assertThat(stop.isAlive()).isFalse();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Test
    void serverThatStatesALimitReceivesNoMoreThanIt() throws Exception {
        ScriptedBackendServer.Script limited = (r, out, s) -> ScriptedBackendServer.write(
                out,
                "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id")
                        + "\r\nX-Signed: 1\r\nX-Limit: 0.1\r\nContent-Length: 5\r\n\r\nfirst");
        first.script(limited);
        startEdgeWith(first);

        assertThat(edge.request(EdgeFixture.get("/quick/1", "q1", "")).body()).isEqualTo("first");
        EdgeFixture.Reply refused = edge.request(EdgeFixture.get("/quick/1", "q2", ""));

        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.hasHeader("Retry-After")).isTrue();
        assertThat(first.requests()).hasSize(1);
    }

    @Test
    void recordOfTheVmIsWrittenAgainAfterTheStoreWasRestored() throws Exception {
        startEdgeWith(first);
        edge.awaitRecordOfTheVm();

        edge.restoreStoreWithoutVmRecords();
        edge.configure(2);

        edge.awaitRecordOfTheVm();
    }
}
