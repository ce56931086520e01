package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

class ClaimRowCodecTest {
    private static final AttemptId ATTEMPT = new AttemptId(new Incarnation(new VmName("vm-1"), 7), 3);

    @Test
    void decodesEncodedRow() {
        StoredAnswer answer = new StoredAnswer(
                200, List.of(new HeaderField("Content-Type", "text/plain")), new StoredAnswer.Body.InObject("o", 9));
        ClaimRow row = new ClaimRow(
                ClaimRow.State.ANSWERED,
                ATTEMPT,
                new RequestDigest("ab"),
                Instant.ofEpochMilli(5),
                Optional.of(answer));
        assertThat(ClaimRowCodec.decode(ClaimRowCodec.encode(row))).contains(row);
    }

    @Test
    void returnsEmptyForMalformedRow() {
        assertThat(ClaimRowCodec.decode("{\"state\":\"answered\",\"attempt\":\"vm-1@7#3\"}"))
                .isEmpty();
        assertThat(ClaimRowCodec.decode("not json")).isEmpty();
    }
}
