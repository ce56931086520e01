package org.lycheetray.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.lycheetray.protocol.generated.Hello;

class FrameAuthenticatorTest {
    private static final FleetSecret SECRET = FleetSecret.of("a-secret-for-tests-only");
    private static final byte[] MESSAGE = "message".getBytes(StandardCharsets.UTF_8);

    private final Hello a = hello("a", 1);
    private final Hello b = hello("b", 2);
    private final FrameAuthenticator dialler = FrameAuthenticator.forDialler(SECRET, a, b);
    private final FrameAuthenticator acceptor = FrameAuthenticator.forAcceptor(SECRET, b, a);

    @Test
    void opensFrameSealedByOtherEnd() {
        assertThat(acceptor.open(dialler.seal(MESSAGE)).get()).isEqualTo(MESSAGE);
        assertThat(dialler.open(acceptor.seal(MESSAGE)).get()).isEqualTo(MESSAGE);
    }

    @Test
    void rejectsAlteredFrame() {
        byte[] frame = dialler.seal(MESSAGE);
        frame[frame.length - 1] ^= 1;
        assertThat(acceptor.open(frame).getLeft().kind()).isEqualTo(ProtocolError.Kind.NOT_AUTHENTIC);
    }

    @Test
    void rejectsReplayedFrame() {
        byte[] frame = dialler.seal(MESSAGE);
        acceptor.open(frame);
        assertThat(acceptor.open(frame).isLeft()).isTrue();
    }

    @Test
    void rejectsReflectedFrame() {
        assertThat(dialler.open(dialler.seal(MESSAGE)).isLeft()).isTrue();
    }

    @Test
    void rejectsFrameSealedWithOtherSecret() {
        FrameAuthenticator other = FrameAuthenticator.forDialler(FleetSecret.of("another-secret-of-somebody"), a, b);
        assertThat(acceptor.open(other.seal(MESSAGE)).getLeft().kind()).isEqualTo(ProtocolError.Kind.NOT_AUTHENTIC);
    }

    @Test
    void rejectsTruncatedFrame() {
        assertThat(acceptor.open(new byte[3]).getLeft().kind()).isEqualTo(ProtocolError.Kind.TRUNCATED);
    }

    private static Hello hello(String vm, int fill) {
        byte[] nonce = new byte[MessageCodec.NONCE_BYTES];
        nonce[0] = (byte) fill;
        Hello h = new Hello();
        h.setProtocolVersion(MessageCodec.PROTOCOL_VERSION);
        h.setVm(vm);
        h.setIncarnation(fill);
        h.setNonce(nonce);
        return h;
    }
}
