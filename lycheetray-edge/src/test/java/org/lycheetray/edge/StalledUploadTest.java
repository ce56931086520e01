package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.Socket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests that a request whose body does not arrive ends at its deadline. */
class StalledUploadTest {
    private EdgeFixture edge;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws Exception {
        edge = new EdgeFixture();
        server = new ScriptedBackendServer(ScriptedBackendServer.signed("whole"));
        edge.startWith(server);
    }

    @AfterEach
    void stop() throws IOException {
        edge.close();
        server.close();
    }

    /** Guards against memory that stays reserved for a body that never arrives. */
    @Test
    void bodyThatDoesNotArriveIsNotWaitedForBeyondTheDeadline() throws IOException {
        Socket caller = edge.caller();
        EdgeFixture.send(
                caller,
                "POST /order/1 HTTP/1.1\r\nHost: host\r\nX-Id: q1\r\nX-Patience: 100\r\nContent-Length: 2\r\n\r\nx");

        EdgeFixture.Reply reply = EdgeFixture.read(new BufferedInputStream(caller.getInputStream()));

        assertThat(reply.status()).isEqualTo(408);
        assertThat(server.requests()).isEmpty();
    }
}
