package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.edge.TestDialect;

/** Tests that only bodies that hold an answer of the same connection are rejected. */
class EmbeddedAnswerFinderTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nX-Other: 1\r\nX-Id: q1\r\n\r\n";

    private static boolean finds(String body, String surplus) {
        return new EmbeddedAnswerFinder(new TestDialect())
                .containsAnswer(
                        body.getBytes(StandardCharsets.ISO_8859_1),
                        Unpooled.copiedBuffer(surplus, StandardCharsets.ISO_8859_1),
                        List.of("q1", "q1"));
    }

    @Test
    void answerThatEndsInTheSurplusIsFound() {
        for (int i = 1; i < HEAD.length(); i++) {
            assertThat(finds("whole " + HEAD.substring(0, i), HEAD.substring(i)))
                    .as("%d bytes in the body", i)
                    .isTrue();
        }
    }

    @Test
    void answerAfterTheBodyIsNotFound() {
        assertThat(finds("whole", HEAD)).isFalse();
    }

    @Test
    void textOfAnotherAnswerIsNotFound() {
        assertThat(finds(HEAD.replace("q1", "q2"), "")).isFalse();
    }

    @Test
    void answerBehindTextOfOthersIsFound() {
        String status = "HTTP/1.1 200 OK\r\n";
        assertThat(finds(status.repeat(5_000) + "\r\n" + status + HEAD, "")).isTrue();
    }
}
