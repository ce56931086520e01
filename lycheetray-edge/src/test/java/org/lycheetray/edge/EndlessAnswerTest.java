package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that the connection to a backend server whose bytes never end is closed and its request is answered. */
class EndlessAnswerTest {
    private static final long TIMEOUT_S = 20;

    /** Start of an answer without length, to which the identifier of the request is added. */
    private static final String HEAD_START = "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: ";

    private EdgeFixture edge;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws IOException {
        edge = new EdgeFixture();
        server = new ScriptedBackendServer(ScriptedBackendServer.signed("whole"));
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        server.close();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "X-Filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n",
                "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
            })
    void endlessHeadIsCutOff(String piece) throws Exception {
        assertEndlessAnswerIsCutOff(HEAD_START, "\r\n", piece);
    }

    @Test
    void bytesWithoutLineEndAreCutOff() throws Exception {
        assertEndlessAnswerIsCutOff("", "", "no answer ".repeat(100));
    }

    @Test
    void endlessBodyWithoutLengthIsCutOff() throws Exception {
        assertEndlessAnswerIsCutOff(HEAD_START, "\r\n\r\n", "x".repeat(65_536));
    }

    @Test
    void endlessChunkedBodyIsCutOff() throws Exception {
        assertEndlessAnswerIsCutOff(
                HEAD_START, "\r\nTransfer-Encoding: chunked\r\n\r\n", "10000\r\n" + "x".repeat(65_536) + "\r\n");
    }

    @Test
    void endlessBodyOfAnAnswerToAnotherRequestIsCutOff() throws Exception {
        assertEndlessAnswerIsCutOff(HEAD_START + "other-", "\r\n\r\n", "x".repeat(65_536));
    }

    private void assertEndlessAnswerIsCutOff(String beforeId, String afterId, String piece) throws Exception {
        server.script((r, out, s) -> {
            ScriptedBackendServer.write(out, beforeId + r.header("X-Id") + afterId);
            while (true) {
                ScriptedBackendServer.write(out, piece);
            }
        });
        edge.startWith(server);

        EdgeFixture.Reply reply = edge.request(EdgeFixture.post("/order/1", "q1", "x"));

        assertThat(reply.status()).isEqualTo(502);
        assertThat(server.requests()).hasSize(1);
        assertThat(server.callerDisconnected().await(TIMEOUT_S, TimeUnit.SECONDS))
                .isTrue();
    }
}
