package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests to a server whose answers say that it leaves or wants a pause. */
class ServerAvailabilityPathTest {
    private static final String PAUSE_MS = "60000";

    private EdgeFixture edge;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws IOException {
        edge = new EdgeFixture();
        server = new ScriptedBackendServer(ScriptedBackendServer.signed("plain"));
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        server.close();
    }

    private void startWithServerThatAdds(String head, String header, String body) throws Exception {
        server.script((r, out, s) -> ScriptedBackendServer.write(
                out,
                head + "\r\nX-Id: " + r.header("X-Id") + "\r\n" + header + "\r\nContent-Length: " + body.length()
                        + "\r\n\r\n" + body));
        edge.startWith(server);
    }

    private EdgeFixture.Reply post(String id) throws IOException {
        return edge.request(EdgeFixture.post("/order/1", id, "x"));
    }

    @Test
    void serverThatLeavesReceivesNoFurtherRequest() throws Exception {
        startWithServerThatAdds("HTTP/1.1 200 OK\r\nX-Signed: 1", "X-Leaving: 1", "whole");

        assertThat(post("q1").body()).isEqualTo("whole");
        assertThat(post("q2").status()).isEqualTo(503);
        assertThat(server.requests()).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(strings = {"X-Not-Run: 1\r\n", ""})
    void pausedServerReceivesNoFurtherRequestAndCallersAreToldWhenToReturn(String notRun) throws Exception {
        startWithServerThatAdds("HTTP/1.1 503 Service Unavailable", notRun + "X-Pause-Ms: " + PAUSE_MS, "");

        post("q1");
        EdgeFixture.Reply second = post("q2");

        assertThat(second.status()).isEqualTo(503);
        assertThat(second.head()).containsPattern("(?i)retry-after: [1-9][0-9]\\.");
        assertThat(server.requests()).hasSize(1);
    }

    @Test
    void announcementInAnAnswerToAnotherRequestIsHeeded() throws Exception {
        server.script((r, out, s) -> {
            ScriptedBackendServer.write(
                    out, "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: old\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n");
            ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), "whole"));
        });
        edge.startWith(server);

        assertThat(post("q1").body()).isEqualTo("whole");
        assertThat(post("q2").status()).isEqualTo(503);
        assertThat(server.requests()).hasSize(1);
    }
}
