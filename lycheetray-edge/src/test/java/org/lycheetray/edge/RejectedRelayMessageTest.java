package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.fleet.FleetMember;
import org.lycheetray.protocol.MessageCodec;
import org.lycheetray.protocol.generated.BodyPart;
import org.lycheetray.protocol.generated.HeaderField;
import org.lycheetray.protocol.generated.RelayMessage;
import org.lycheetray.protocol.generated.RelayRequest;

/** Guards against requests of outsiders on the port where VMs ask each other to send requests. */
class RejectedRelayMessageTest {
    private EdgeFixture vm;
    private EdgeFixture peer;
    private ScriptedBackendServer server;

    @BeforeEach
    void start() throws Exception {
        server = new ScriptedBackendServer(ScriptedBackendServer.signed("answer"));
        vm = new EdgeFixture();
        peer = vm.newPeer("peer");
        vm.startWith(server);
        peer.startWith(server);
        vm.awaitPeers(1);
    }

    @AfterEach
    void stop() throws IOException {
        peer.close();
        vm.close();
        server.close();
    }

    /** Returns a request that the peer could send. */
    private RelayRequest request() {
        FleetMember sender = vm.member("peer");
        FleetMember recipient = vm.member("vm");
        RelayRequest r = new RelayRequest();
        r.setVm("peer");
        r.setIncarnation(sender.incarnation());
        r.setRecipient("vm");
        r.setRecipientIncarnation(recipient.incarnation());
        r.setServer("s-0");
        r.setServerIncarnation(1);
        r.setRequestId("q1");
        r.setMethod("GET");
        r.setUri("/read/1");
        r.setHeaders(List.of(new HeaderField("X-Id", "q1")));
        r.setRemainingMillis(1_000);
        return r;
    }

    private static byte[] frame(RelayMessage m) {
        byte[] bytes = MessageCodec.encode(m);
        return ByteBuffer.allocate(4 + bytes.length)
                .putInt(bytes.length)
                .put(bytes)
                .array();
    }

    /** Sends bytes to the VM; returns whether it closes the connection without a reply. */
    private boolean isRejected(byte[]... frames) throws IOException {
        try (Socket s = vm.relayConnection()) {
            for (byte[] f : frames) {
                s.getOutputStream().write(f);
            }
            return s.getInputStream().read() < 0;
        } catch (SocketException e) {
            // Closed with unread bytes.
            return true;
        }
    }

    private boolean isRejected(RelayRequest r) throws IOException {
        return isRejected(frame(RelayMessage.request(r)));
    }

    @Test
    void requestOfAVmOfTheFleetIsSent() throws Exception {
        assertThat(isRejected(request())).isFalse();
        assertThat(server.requests()).hasSize(1);
    }

    @Test
    void requestOfAnotherSenderIsRejected() throws Exception {
        assertThat(isRejected(request().setVm("stranger"))).isTrue();
        assertThat(isRejected(request().setIncarnation(1))).isTrue();
        assertThat(isRejected(request().setVm(null))).isTrue();
        assertThat(server.requests()).isEmpty();
    }

    @Test
    void requestForAnotherRecipientIsRejected() throws Exception {
        assertThat(isRejected(request().setRecipient("peer"))).isTrue();
        assertThat(isRejected(request().setRecipientIncarnation(1))).isTrue();
        assertThat(server.requests()).isEmpty();
    }

    @Test
    void malformedMessagesAreRejected() throws Exception {
        byte[] body = frame(RelayMessage.body(new BodyPart(ByteBuffer.allocate(2))));

        assertThat(isRejected("GET /read/1 HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII)))
                .isTrue();
        assertThat(isRejected(ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array()))
                .isTrue();
        assertThat(isRejected(new byte[8])).isTrue();
        assertThat(isRejected(body)).isTrue();
        assertThat(isRejected(frame(RelayMessage.request(request().setBodyBytes(1))), body))
                .isTrue();
        assertThat(isRejected(request().setBodyBytes(-1))).isTrue();
        assertThat(isRejected(request().setServer(""))).isTrue();
        assertThat(isRejected(request().setAccount(""))).isTrue();
        assertThat(server.requests()).isEmpty();
        assertThat(vm.request(EdgeFixture.get("/read/1", "q2", "")).status()).isEqualTo(200);
    }

    @Test
    void requestForAServerThatIsNotInServiceIsNotSent() throws Exception {
        assertThat(isRejected(request().setServerIncarnation(2))).isFalse();
        assertThat(isRejected(request().setServer("unknown"))).isFalse();
        assertThat(server.requests()).isEmpty();
    }
}
