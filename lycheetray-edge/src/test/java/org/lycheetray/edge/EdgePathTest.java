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
    private static final long LIMIT_S = 20;

    private EdgeFixture edge;
    private StandinServer first;
    private StandinServer second;

    @BeforeEach
    void start() throws IOException {
        edge = new EdgeFixture();
        first = new StandinServer(StandinServer.signed("first"));
        second = new StandinServer(StandinServer.signed("second"));
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        first.close();
        second.close();
    }

    private void serve(StandinServer... servers) throws IOException, InterruptedException {
        edge.configure(1);
        int n = 0;
        for (StandinServer s : servers) {
            edge.register("s-" + n++, s, false);
        }
        edge.awaitReady();
    }

    @Test
    void answerIsReturnedUnchanged() throws Exception {
        serve(first);

        EdgeFixture.Reply r = edge.ask(EdgeFixture.post("/order/1?a=b", "q1", "body"));

        assertThat(r.status()).isEqualTo(200);
        assertThat(r.body()).isEqualTo("first");
        assertThat(r.hasHeader("X-Signed")).isTrue();
        StandinServer.Request seen = first.requests().getFirst();
        assertThat(seen.head()).startsWith("POST /order/1?a=b HTTP/1.1");
        assertThat(seen.body()).isEqualTo("body");
        assertThat(seen.header("X-Id")).isEqualTo("q1");
        assertThat(seen.header("X-Server")).isEqualTo("s-0");
    }

    @Test
    void withoutConfigurationNothingIsDenied() throws Exception {
        edge.start();
        EdgeFixture.Reply r = edge.ask(EdgeFixture.get("/read/1", "q1", ""));

        assertThat(r.status()).isEqualTo(503);
        assertThat(r.hasHeader("Retry-After")).isTrue();
    }

    @Test
    void keyIsReplacedByItsAccount() throws Exception {
        edge.configure(1, EdgeFixture.acme(100, 100));
        edge.register("s-0", first, false);
        edge.awaitReady();

        EdgeFixture.Reply known = edge.ask(
                EdgeFixture.get("/read/1", "q1", "X-Secret: " + EdgeFixture.KEY + "\r\nX-Account: somebody-else\r\n"));
        EdgeFixture.Reply unknown = edge.ask(EdgeFixture.get("/read/1", "q2", "X-Secret: wrong\r\n"));
        EdgeFixture.Reply nowhere = edge.ask(EdgeFixture.get("/none/1", "q3", ""));

        assertThat(known.status()).isEqualTo(200);
        assertThat(unknown.status()).isEqualTo(401);
        assertThat(nowhere.status()).isEqualTo(404);
        assertThat(first.requests()).hasSize(1);
        assertThat(first.requests().getFirst().header("X-Account")).isEqualTo("acme");
        assertThat(first.requests().getFirst().head()).doesNotContain(EdgeFixture.KEY);
    }

    @Test
    void accountBeyondItsRateIsRefusedWithATime() throws Exception {
        edge.configure(1, EdgeFixture.acme(0.001, 0));
        edge.register("s-0", first, false);
        edge.awaitReady();

        EdgeFixture.Reply last = null;
        for (int i = 0; i < 20; i++) {
            last = edge.ask(EdgeFixture.get("/read/1", "q" + i, "X-Secret: " + EdgeFixture.KEY + "\r\n"));
        }

        assertThat(last.status()).isEqualTo(429);
        assertThat(last.hasHeader("Retry-After")).isTrue();
        assertThat(first.requests()).hasSizeLessThan(20);
    }

    @Test
    void repeatableRequestIsTriedElsewhereAfterABrokenConnection() throws Exception {
        first.script((r, out, s) -> s.close());
        serve(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.ask(EdgeFixture.get("/read/1", "q" + i, "")).body()).isEqualTo("second");
        }
    }

    @Test
    void requestThatMayHaveRunIsNotRepeatedAndNotCalledNotRun() throws Exception {
        first.script((r, out, s) -> s.close());
        serve(first);

        EdgeFixture.Reply r = edge.ask(EdgeFixture.post("/order/1", "q1", "x"));

        assertThat(r.status()).isEqualTo(502);
        assertThat(first.requests()).hasSize(1);
    }

    @Test
    void shedRequestIsTriedElsewhereWhateverItsKind() throws Exception {
        first.script((r, out, s) -> StandinServer.write(
                out,
                "HTTP/1.1 503 Busy\r\nX-Id: " + r.header("X-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"));
        serve(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.ask(EdgeFixture.post("/order/1", "q" + i, "x")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void answerOfAnotherRequestIsSkipped() throws Exception {
        first.script((r, out, s) -> StandinServer.write(
                out,
                StandinServer.signedAnswer("other", "wrong") + StandinServer.signedAnswer(r.header("X-Id"), "right")));
        serve(first);

        assertThat(edge.ask(EdgeFixture.get("/read/1", "q1", "")).body()).isEqualTo("right");
    }

    @Test
    void surplusBytesAfterAnAnswerReachNobody() throws Exception {
        first.script((r, out, s) -> StandinServer.write(
                out,
                StandinServer.signedAnswer(r.header("X-Id"), "right")
                        + StandinServer.signedAnswer(r.header("X-Id"), "again")));
        serve(first);

        for (int i = 0; i < 5; i++) {
            assertThat(edge.ask(EdgeFixture.get("/read/1", "q" + i, "")).body()).isEqualTo("right");
        }
    }

    @Test
    void answerThatIsCutShortIsNotDelivered() throws Exception {
        first.script((r, out, s) -> {
            StandinServer.write(
                    out,
                    "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id")
                            + "\r\nX-Signed: 1\r\nContent-Length: 100\r\n\r\nhalf");
            s.close();
        });
        serve(first, second);

        for (int i = 0; i < 4; i++) {
            assertThat(edge.ask(EdgeFixture.get("/read/1", "q" + i, "")).body()).isEqualTo("second");
        }
    }

    @Test
    void unframedAnswerCountsOnlyIfItsConnectionEndsInOrder() throws Exception {
        first.script((r, out, s) -> {
            StandinServer.write(out, "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id") + "\r\nX-Signed: 1\r\n\r\nwhole");
            if (r.header("X-Id").equals("reset")) {
                s.setSoLinger(true, 0);
            }
            s.close();
        });
        serve(first);

        assertThat(edge.ask(EdgeFixture.get("/read/1", "q1", "")).body()).isEqualTo("whole");
        assertThat(edge.ask(EdgeFixture.post("/order/1", "reset", "x")).status())
                .isEqualTo(502);
    }

    @Test
    void successWithoutSignatureIsNotDelivered() throws Exception {
        first.script((r, out, s) -> StandinServer.write(
                out, "HTTP/1.1 200 OK\r\nX-Id: " + r.header("X-Id") + "\r\nContent-Length: 4\r\n\r\nfake"));
        serve(first);

        assertThat(edge.ask(EdgeFixture.post("/order/1", "q1", "x")).status()).isEqualTo(502);
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() throws Exception {
        CountDownLatch slow = new CountDownLatch(1);
        first.script((r, out, s) -> {
            if (r.header("X-Id").equals("q1")) {
                await(slow);
            } else {
                slow.countDown();
            }
            StandinServer.write(out, StandinServer.signedAnswer(r.header("X-Id"), r.header("X-Id")));
        });
        serve(first);
        Socket caller = edge.caller();

        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", "") + EdgeFixture.get("/read/2", "q2", ""));

        BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q1");
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q2");
    }

    @Test
    void serverLearnsThatTheCallerHasLeft() throws Exception {
        CountDownLatch arrived = new CountDownLatch(1);
        first.script((r, out, s) -> arrived.countDown());
        serve(first);
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        await(arrived);

        caller.close();

        assertThat(first.callerLeft().await(LIMIT_S, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void leavingServerGetsNothing() throws Exception {
        edge.configure(1);
        edge.register("s-0", first, true);
        edge.register("s-1", second, false);
        edge.awaitReady();

        for (int i = 0; i < 6; i++) {
            assertThat(edge.ask(EdgeFixture.get("/read/1", "q" + i, "")).body()).isEqualTo("second");
        }
        assertThat(first.requests()).isEmpty();
    }

    @Test
    void lostAnswerToARepeatableRequestIsMadeUpForByAnotherServer() throws Exception {
        first.script((r, out, s) -> {});
        serve(first, second);

        for (int i = 0; i < 3; i++) {
            assertThat(edge.ask(EdgeFixture.get("/quick/" + i, "q" + i, "")).body())
                    .isEqualTo("second");
        }
    }

    @Test
    void attemptThatLosesIsGivenUp() throws Exception {
        AtomicReference<StandinServer> loser = new AtomicReference<>();
        first.script((r, out, s) -> {
            if (!loser.compareAndSet(null, first)) {
                StandinServer.signed("late").answer(r, out, s);
            }
        });
        second.script((r, out, s) -> {
            if (!loser.compareAndSet(null, second)) {
                StandinServer.signed("late").answer(r, out, s);
            }
        });
        serve(first, second);

        assertThat(edge.ask(EdgeFixture.get("/quick/1", "q1", "")).body()).isEqualTo("late");

        assertThat(loser.get().callerLeft().await(LIMIT_S, TimeUnit.SECONDS)).isTrue();
        assertThat(first.requests()).hasSize(1);
        assertThat(second.requests()).hasSize(1);
    }

    @Test
    void overdueRequestThatMayRunOnceIsNotSentAgain() throws Exception {
        first.script((r, out, s) -> {});
        second.script((r, out, s) -> {});
        serve(first, second);

        String request =
                EdgeFixture.post("/quick-order/1", "q1", "x").replace("\r\n\r\n", "\r\nX-Patience: 1500\r\n\r\n");

        assertThat(edge.ask(request).status()).isEqualTo(504);
        assertThat(first.requests().size() + second.requests().size()).isEqualTo(1);
    }

    @Test
    void goneServerWithSeveralIdleConnectionsDoesNotEndTheFeed() throws Exception {
        CountDownLatch together = new CountDownLatch(3);
        first.script((r, out, s) -> {
            together.countDown();
            await(together);
            StandinServer.signed("first").answer(r, out, s);
        });
        serve(first);
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

        assertThat(edge.ask(EdgeFixture.get("/read/1", "last", "")).body()).isEqualTo("second");
    }

    @Test
    void requestWithTwoLengthsIsRejected() throws Exception {
        serve(first);

        String head = EdgeFixture.post("/order/1", "q1", "").replace("Content-Length: 0", "Content-Length: 4");
        EdgeFixture.Reply r = edge.ask(head.replace("\r\n\r\n", "\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"));

        assertThat(r.status()).isEqualTo(400);
        assertThat(first.requests()).isEmpty();
    }

    @Test
    void plannedStopFinishesWhatRuns() throws Exception {
        edge.close();
        edge = new EdgeFixture(Duration.ofSeconds(30));
        CountDownLatch arrived = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        first.script((r, out, s) -> {
            arrived.countDown();
            await(go);
            StandinServer.write(out, StandinServer.signedAnswer(r.header("X-Id"), "late but whole"));
        });
        serve(first);
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        await(arrived);

        Thread stop = Thread.ofPlatform().start(edge.edge()::close);
        while (edge.readiness().status() == 200) {
            Thread.sleep(5);
        }
        assertThat(edge.lookup().status()).isEqualTo(503);
        go.countDown();

        assertThat(EdgeFixture.read(new BufferedInputStream(caller.getInputStream()))
                        .body())
                .isEqualTo("late but whole");
        stop.join(TimeUnit.SECONDS.toMillis(LIMIT_S));
        assertThat(stop.isAlive()).isFalse();
    }

    private static void await(CountDownLatch latch) {
        try {
            assertThat(latch.await(LIMIT_S, TimeUnit.SECONDS)).isTrue();
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }
}
