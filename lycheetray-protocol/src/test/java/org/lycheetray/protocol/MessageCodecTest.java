package org.lycheetray.protocol;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.lycheetray.protocol.generated.Envelope;
import org.lycheetray.protocol.generated.Ping;
import org.lycheetray.protocol.generated.Request;

class MessageCodecTest {
    @Test
    void decodesEncodedEnvelope() {
        assertThat(MessageCodec.decodeEnvelope(MessageCodec.encode(ping())).get())
                .isEqualTo(ping());
    }

    @Test
    void rejectsTruncatedMessage() {
        byte[] bytes = MessageCodec.encode(ping());
        byte[] cut = Arrays.copyOf(bytes, bytes.length - 1);
        assertThat(MessageCodec.decodeEnvelope(cut).getLeft().kind()).isEqualTo(ProtocolError.Kind.MALFORMED);
    }

    @Property(seed = "42", tries = 500)
    void doesNotThrowOnRandomBytes(@ForAll @Size(max = 200) byte[] bytes) {
        assertThat(MessageCodec.decodeEnvelope(bytes)).isNotNull();
        assertThat(MessageCodec.decodeHello(bytes)).isNotNull();
    }

    private static Envelope ping() {
        Envelope e = new Envelope();
        e.setCorrelation(7);
        e.setRequest(Request.ping(new Ping()));
        return e;
    }
}
