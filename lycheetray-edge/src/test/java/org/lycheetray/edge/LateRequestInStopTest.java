package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what becomes of requests that arrive, or are sent to a server, while a VM stops as planned. */
class LateRequestInStopTest {
    private static final Duration GRACE = Duration.ofSeconds(6);

    /** Time that the server takes to answer. */
    private static final Duration WORK = Duration.ofSeconds(1);

    /** Longest time that the stop of the test may take on the clock of the system. */
    private static final long TIMEOUT_MS = TimeUnit.SECONDS.toMillis(20);

    /** Time after which a request of the route with the short target latency has been hedged, if it may be. */
    private static final Duration HEDGE_DELAY = Duration.ofMillis(500);

    /** Time in which a stop that waits for nothing ends. */
    private static final Duration STOP_WITHOUT_WORK = Duration.ofMillis(500);

    private final SteppedClock clock = new SteppedClock();
    private EdgeFixture edge;
    private ScriptedBackendServer server;
    private Thread stop;

    @BeforeEach
    void start() throws Exception {
        edge = new EdgeFixture(GRACE, clock);
        server = new ScriptedBackendServer((r, out, s) -> answerAfterWork(r, out));
        edge.configure(1);
        edge.register("s-0", server, false);
        edge.register("s-1", server, false);
        edge.awaitReady();
        clock.freeze();
        assertThat(edge.request(EdgeFixture.post("/order/1", "first", "x")).status())
                .isEqualTo(200);
        assertThat(edge.request(EdgeFixture.get("/read/1", "second", "")).status())
                .isEqualTo(200);
    }

    @AfterEach
    void stop() throws Exception {
        if (stop != null) {
            clock.advance(GRACE);
            stop.join(TIMEOUT_MS);
            assertThat(stop.isAlive()).isFalse();
        }
        edge.close();
        server.close();
    }

    private void answerAfterWork(ScriptedBackendServer.Request r, OutputStream out) throws IOException {
        clock.advance(WORK);
        ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), "done"));
    }

    private void startStop() throws Exception {
        stop = Thread.ofPlatform().start(edge.edge()::close);
        while (edge.readiness().status() == 200) {
            Thread.sleep(5);
        }
    }

    /** Guards against refusing requests that can be answered, of callers whose look-up answers have not expired. */
    @Test
    void requestThatCanBeAnsweredInTimeIsServed() throws Exception {
        startStop();

        EdgeFixture.Reply reply = edge.request(EdgeFixture.post("/order/2", "q1", "x"));

        assertThat(reply.status()).isEqualTo(200);
        assertThat(reply.head()).containsIgnoringCase("connection: close");
    }

    /** Guards against passing on an at-most-once request that is then cut off at the end of the stop. */
    @Test
    void requestThatCannotBeAnsweredInTimeIsRefusedAsNotRun() throws Exception {
        server.script((r, out, s) -> clock.advance(GRACE));
        startStop();
        clock.advance(Duration.ofMillis(2_590));

        EdgeFixture.Reply reply = edge.request(EdgeFixture.post("/order/2", "q1", "x"));

        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.hasHeader("Retry-After")).isTrue();
        assertThat(reply.head()).containsIgnoringCase("connection: close");
        assertThat(server.requests()).noneMatch(r -> r.header("X-Id").equals("q1"));
    }

    /** Guards against passing on requests of a route whose servers have not answered yet and may be slow. */
    @Test
    void requestOfARouteWithoutAnswersIsRefusedAsNotRun() throws Exception {
        server.script((r, out, s) -> clock.advance(GRACE));
        startStop();

        EdgeFixture.Reply reply = edge.request(EdgeFixture.post("/late-order/1", "q1", "x"));

        assertThat(reply.status()).isEqualTo(503);
        assertThat(server.requests()).noneMatch(r -> r.header("X-Id").equals("q1"));
    }

    /** Guards against refusing a request whose own deadline ends it before the stop does. */
    @Test
    void requestWithAnEarlyDeadlineIsServed() throws Exception {
        startStop();

        EdgeFixture.Reply reply = edge.request(EdgeFixture.get("/late-order/1", "q1", "X-Patience: 4000\r\n"));

        assertThat(reply.status()).isEqualTo(200);
    }

    /** Guards against repeating a request on another server so late that the stop cuts it off. */
    @Test
    void requestIsNotRepeatedIfItCannotBeAnsweredInTime() throws Exception {
        server.script((r, out, s) -> {
            clock.advance(Duration.ofSeconds(2));
            s.close();
        });
        startStop();
        clock.advance(Duration.ofSeconds(1));

        EdgeFixture.Reply reply = edge.request(EdgeFixture.get("/read/2", "q1", ""));

        assertThat(reply.status()).isEqualTo(502);
        assertThat(server.requests().stream().filter(r -> r.header("X-Id").equals("q1")))
                .hasSize(1);
    }

    /** Guards against a hedged attempt that is sent so late that the stop cuts it off. */
    @Test
    void overdueRequestIsNotHedgedIfItCannotBeAnsweredInTime() throws Exception {
        server.script((r, out, s) -> clock.advance(Duration.ofMillis(5_500)));
        startStop();
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/quick/1", "q1", ""));
        Thread.sleep(HEDGE_DELAY);
        clock.advance(GRACE);

        assertThat(EdgeFixture.read(caller.getInputStream()).status()).isEqualTo(502);
        assertThat(server.requests().stream().filter(r -> r.header("X-Id").equals("q1")))
                .hasSize(1);
    }

    /** Guards against passing on a request whose body was still arriving when the VM began to refuse requests. */
    @Test
    void requestWhoseBodyEndsTooLateIsRefusedAsNotRun() throws Exception {
        startStop();
        Socket caller = edge.caller();
        String request = EdgeFixture.post("/order/2", "q1", "body");
        sendAllButTheLastByte(caller, request);
        clock.advance(Duration.ofSeconds(4));
        EdgeFixture.send(caller, request.substring(request.length() - 1));

        EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));

        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsIgnoringCase("connection: close");
        assertThat(server.requests()).noneMatch(r -> r.header("X-Id").equals("q1"));
    }

    /** Guards against a stop that ends between the head and the body of a request. */
    @Test
    void requestWhoseBodyIsArrivingKeepsTheStopWaiting() throws Exception {
        Socket caller = edge.caller();
        String request = EdgeFixture.post("/order/2", "q1", "body");
        sendAllButTheLastByte(caller, request);
        startStop();
        clock.advance(Duration.ofSeconds(3));
        assertThat(edge.edge().awaitStopped(STOP_WITHOUT_WORK)).isFalse();
        EdgeFixture.send(caller, request.substring(request.length() - 1));

        assertThat(EdgeFixture.read(new BufferedInputStream(caller.getInputStream()))
                        .status())
                .isEqualTo(503);
    }

    /** Guards against closing the connection of a request that has arrived in part without telling that it has not run. */
    @Test
    void requestThatDoesNotArriveBeforeTheEndOfTheStopIsRefused() throws Exception {
        Socket caller = edge.caller();
        sendAllButTheLastByte(caller, EdgeFixture.post("/order/2", "q1", "body"));
        startStop();
        clock.advance(Duration.ofMillis(5_600));

        EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));

        assertThat(reply.status()).isEqualTo(503);
        assertThat(reply.head()).containsIgnoringCase("connection: close");
    }

    /** Guards against requests that are passed on and cut off although their caller uses its connection until the end. */
    @Test
    void callerThatKeepsSendingGetsAnAnswerToEachRequestThatIsPassedOn() throws Exception {
        stop = Thread.ofPlatform().unstarted(edge.edge()::close);
        int answered = 0;
        int sent = 0;
        Socket caller = edge.caller();
        BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
        boolean open = true;
        while (open) {
            if (++sent == 3) {
                stop.start();
            }
            EdgeFixture.send(caller, EdgeFixture.post("/order/2", "kept-" + sent, "x"));
            EdgeFixture.Reply reply = EdgeFixture.read(in);
            answered += reply.status() == 200 ? 1 : 0;
            open = reply.status() != 0 && !reply.hasHeader("Connection");
        }

        assertThat(server.requests().stream().filter(r -> r.header("X-Id").startsWith("kept-")))
                .hasSize(answered);
    }

    /** Guards against passing on the requests behind a long one when the VM has begun to refuse requests. */
    @Test
    void requestsPipelinedTooLateAreRefusedInOrder() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        server.script((r, out, s) -> {
            awaitLatch(release);
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), "done"));
        });
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        while (server.requests().stream().noneMatch(r -> r.header("X-Id").equals("q1"))) {
            Thread.sleep(5);
        }
        startStop();
        clock.advance(Duration.ofSeconds(3));
        EdgeFixture.send(caller, EdgeFixture.get("/read/2", "q2", "") + EdgeFixture.get("/read/3", "q3", ""));
        // A refusal on another connection shows that the loop has run since.
        edge.awaitStatus("/read/4", 503);
        release.countDown();

        BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).status()).isEqualTo(200);
        assertThat(EdgeFixture.read(in).status()).isEqualTo(503);
        assertThat(EdgeFixture.read(in).status()).isEqualTo(503);
        assertThat(server.requests()).noneMatch(r -> r.header("X-Id").matches("q[23]"));
    }

    /** Sends a request but for the last byte of its body, and waits until its head has been read. */
    private static void sendAllButTheLastByte(Socket caller, String request) throws IOException {
        String expecting = request.replace("X-Id:", "Expect: 100-continue\r\nX-Id:");
        EdgeFixture.send(caller, expecting.substring(0, expecting.length() - 1));
        assertThat(EdgeFixture.read(caller.getInputStream()).status()).isEqualTo(100);
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
