package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the replies of a caller's connection up to its last one. */
class LastReplyTest {
    private static final long TIMEOUT_S = 20;

    /** Body that is larger than what a socket holds. */
    private static final String LARGE_BODY = "x".repeat(20 << 20);

    /** End of the large body that is read slowly; more than sockets hold. */
    private static final int SLOWLY_READ_BYTES = 9 << 20;

    private static final String CLOSE = "Connection: close\r\n";
    private EdgeFixture edge;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws Exception {
        edge = new EdgeFixture();
        server = new ScriptedBackendServer((r, out, s) -> ScriptedBackendServer.write(
                out,
                ScriptedBackendServer.signedAnswer(
                        r.header("X-Id"), r.header("X-Id").equals("large") ? LARGE_BODY : r.header("X-Id"))));
        edge.startWith(server);
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        server.close();
    }

    /** Guards against a reset that destroys the end of an answer because its caller goes on sending. */
    @Test
    void answerIsWholeAlthoughItsCallerGoesOnSending() throws Exception {
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "large", CLOSE));
        Thread sender = Thread.ofVirtual().start(() -> sendUntilClosed(caller));

        InputStream in = new BufferedInputStream(caller.getInputStream());
        byte[] start = in.readNBytes(LARGE_BODY.length() - SLOWLY_READ_BYTES);
        assertThat(start.length + countSlowly(in)).isGreaterThan(LARGE_BODY.length());
        caller.close();
        sender.join();
    }

    /** Reads to the end so slowly that the VM has written all before, and returns the number of bytes. */
    private static int countSlowly(InputStream in) throws IOException, InterruptedException {
        byte[] piece = new byte[65_536];
        int count = 0;
        for (int n = in.read(piece); n >= 0; n = in.read(piece)) {
            count += n;
            Thread.sleep(2);
        }
        return count;
    }

    private static void sendUntilClosed(Socket caller) {
        try {
            while (true) {
                EdgeFixture.send(caller, "x".repeat(1_000));
            }
        } catch (IOException e) {
            assertThat(e).isNotNull();
        }
    }

    /** Guards against running a request whose answer cannot be delivered. */
    @Test
    void requestBehindTheLastOneIsNotRun() throws Exception {
        Socket caller = edge.caller();
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", CLOSE) + EdgeFixture.post("/order/2", "q2", "x"));

        InputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q1");
        assertThat(in.read()).isEqualTo(-1);
        edge.request(EdgeFixture.get("/read/3", "q3", ""));
        assertThat(server.requests()).extracting(r -> r.header("X-Id")).containsExactly("q1", "q3");
    }

    @Test
    void requestBehindARejectedOneIsNotRun() throws Exception {
        Socket caller = edge.caller();
        EdgeFixture.send(
                caller,
                "POST /order/1 HTTP/1.1\r\nHost: host\r\nX-Id: q1\r\nContent-Length: 1000000000\r\n\r\n"
                        + EdgeFixture.post("/order/2", "q2", "x"));

        InputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).status()).isEqualTo(413);
        assertThat(in.read()).isEqualTo(-1);
        assertThat(server.requests()).isEmpty();
    }

    /** Guards against an interim reply in the place of the reply to an earlier request. */
    @Test
    void interimReplyIsSentInTurn() throws Exception {
        CountDownLatch expectationSent = new CountDownLatch(1);
        server.script((r, out, s) -> {
            await(expectationSent);
            ScriptedBackendServer.signed(r.header("X-Id")).answer(r, out, s);
        });
        Socket caller = edge.caller();
        String second = EdgeFixture.post("/order/2", "q2", "x").replace("Host", "Expect: 100-continue\r\nHost");
        EdgeFixture.send(caller, EdgeFixture.get("/read/1", "q1", "") + second.substring(0, second.length() - 1));
        edge.request(EdgeFixture.get("/none", "q0", ""));
        expectationSent.countDown();

        InputStream in = new BufferedInputStream(caller.getInputStream());
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q1");
        assertThat(EdgeFixture.read(in).status()).isEqualTo(100);
        EdgeFixture.send(caller, "x");
        assertThat(EdgeFixture.read(in).body()).isEqualTo("q2");
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
