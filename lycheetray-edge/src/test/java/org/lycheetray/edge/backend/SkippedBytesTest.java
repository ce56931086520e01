package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a server can't occupy a connection with bytes that belong to no answer. */
class SkippedBytesTest {
    /** More than any server sends before an answer. */
    private static final int ENDLESS_BYTES = 4 << 20;

    private static final String OTHER = "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Signed: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String ANSWER = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\nContent-Length: 2\r\n\r\nok";

    private final BackendConnectionFixture connection = new BackendConnectionFixture();

    /** Guards against reading until the deadline what the decoder skips without an event. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                " ",
                "\r\n",
                "\0",
                "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: a\r\n\r\naaaa",
                OTHER
            })
    void bytesWithoutAnAnswerAreCutOff(String piece) {
        connection.send("q1");

        receiveEndless(piece);

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Unknown.class);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against chunk sizes and trailers without end. */
    @ParameterizedTest
    @ValueSource(strings = {"1;", "0\r\nX-Trailer: 1\r\n"})
    void chunkedAnswerWithoutEndIsCutOff(String start) {
        connection.send("q1");
        connection.receive("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + start);

        receiveEndless("X-Trailer: 1\r\n".replace("\r\n", start.contains("\n") ? "\r\n" : "  "));

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Unknown.class);
        assertThat(connection.isOpen()).isFalse();
    }

    @Test
    void bytesAfterAnAnswerEndTheConnection() {
        connection.send("q1");
        connection.receive(ANSWER + "no answer\r\n\r\n");

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Answer.class);
        assertThat(connection.isOpen()).isFalse();
    }

    /** Guards against an idle connection on which bytes arrive without end, which no deadline stops. */
    @ParameterizedTest
    @ValueSource(strings = {" ", "\r\n"})
    void bytesOnAnIdleConnectionEndIt(String piece) {
        connection.send("q1");
        connection.receive(ANSWER);

        receiveEndless(piece);

        assertThat(connection.isOpen()).isFalse();
    }

    @Test
    void answerBeforeALineBreakIsDeliveredAndItsConnectionIsNotReused() {
        connection.send("q1");
        connection.receive(ANSWER);

        connection.receive("\r\n");

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Answer.class);
        assertThat(connection.isReusable()).isFalse();
    }

    private void receiveEndless(String piece) {
        String block = piece.repeat((1 << 16) / piece.length());
        for (int sent = 0; sent < ENDLESS_BYTES && connection.isOpen(); sent += block.length()) {
            connection.receive(block);
        }
    }
}
