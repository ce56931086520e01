package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests what callers receive from a VM that stops as planned. */
class PlannedStopTest {
    private static final long TIMEOUT_S = 20;
    private static final String UNANSWERED = "unanswered";

    /** Body that is larger than what the sockets of a connection hold. */
    private static final String LARGE_BODY = "x".repeat(20 << 20);

    private EdgeFixture edge;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws Exception {
        edge = new EdgeFixture(Duration.ofSeconds(3));
        server = new ScriptedBackendServer((r, out, s) -> {
            if (!r.header("X-Id").startsWith(UNANSWERED)) {
                ScriptedBackendServer.write(
                        out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), r.header("X-Id")));
            }
        });
        edge.startWith(server);
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        server.close();
    }

    /** Guards against dropping answers that wait behind an unanswered pipelined request when the VM stops. */
    @Test
    void answersBehindAnUnansweredRequestAreDelivered() throws Exception {
        Socket caller = edge.caller();
        EdgeFixture.send(
                caller,
                EdgeFixture.get("/read/1", UNANSWERED, "")
                        + EdgeFixture.get("/read/2", "q2", "")
                        + EdgeFixture.get("/read/3", "q3", ""));
        awaitRequests(3);

        edge.edge().close();

        BufferedInputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).status()).isEqualTo(502);
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q2");
        EdgeFixture.Reply last = EdgeFixture.read(in);
        assertThat(last.body()).isEqualTo("q3");
        assertThat(last.head()).containsIgnoringCase("connection: close");
        assertThat(in.read()).isEqualTo(-1);
    }

    /** Guards against closing the connection of a request that is still unanswered when the VM stops. */
    @Test
    void unansweredRequestGetsAReplyThatPromisesNothing() throws Exception {
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.post("/order/1", UNANSWERED, "x"));
        awaitRequests(1);

        edge.edge().close();

        EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));
        assertThat(reply.status()).isEqualTo(502);
        assertThat(reply.body()).isEqualTo("interrupted");
        assertThat(server.requests()).hasSize(1);
    }

    /** Guards against closing a connection as idle while its caller is still reading a reply. */
    @Test
    void answerThatIsBeingDeliveredIsDeliveredWhole() throws Exception {
        edge.close();
        edge = new EdgeFixture(Duration.ofSeconds(60));
        edge.startWith(server);
        CountDownLatch answered = new CountDownLatch(1);
        server.script((r, out, s) -> {
            boolean large = r.header("X-Id").equals("large");
            ScriptedBackendServer.write(
                    out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), large ? LARGE_BODY : "small"));
            if (large) {
                answered.countDown();
            }
        });
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "large", ""));
        assertThat(answered.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();

        Thread stop = Thread.ofPlatform().start(edge.edge()::close);
        edge.awaitStatus("/read/1", 503);

        EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));
        assertThat(reply.body()).hasSize(LARGE_BODY.length());
        stop.join(TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        assertThat(stop.isAlive()).isFalse();
    }

    /** Guards against a stop that waits for a caller that does not read. */
    @Test
    void callerThatDoesNotReadDoesNotDelayTheStop() throws Exception {
        CountDownLatch answered = new CountDownLatch(1);
        server.script((r, out, s) -> {
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), LARGE_BODY));
            answered.countDown();
        });
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", ""));
        assertThat(answered.await(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();

        edge.edge().close();

        assertThat(edge.edge().awaitStopped(Duration.ZERO)).isTrue();
    }

    private void awaitRequests(int count) throws InterruptedException {
        long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (server.requests().size() < count && System.nanoTime() < limit) {
            Thread.sleep(5);
        }
        assertThat(server.requests()).hasSize(count);
    }
}
