package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that an answer that ends early, at any byte, is not taken for a whole one. */
class TruncatedAnswerTest {
    private static final String START = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: yes\r\n";
    private static final String WITH_LENGTH = START + "Content-Length: 5\r\n\r\nwhole";
    private static final String CHUNKED =
            START + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX-Trailer: 1\r\n\r\n";
    private static final String UNTIL_CLOSE = START + "\r\nwhole";
    private static final String EMPTY = START + "Content-Length: 0\r\n\r\n";
    private static final String AFTER_INTERIM = "HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH;
    private static final String REFUSAL =
            "HTTP/1.1 503 Busy\r\nX-Id: q1\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy";

    static Stream<Arguments> truncatedAnswers() {
        return Stream.of(
                        cuts(WITH_LENGTH, WITH_LENGTH.length()),
                        cuts(CHUNKED, CHUNKED.length()),
                        cuts(UNTIL_CLOSE, UNTIL_CLOSE.length() - "whole".length()),
                        cuts(EMPTY, EMPTY.length()),
                        cuts(AFTER_INTERIM, AFTER_INTERIM.length()),
                        cuts(REFUSAL, REFUSAL.length()))
                .flatMap(s -> s);
    }

    private static Stream<Arguments> cuts(String answer, int end) {
        return IntStream.range(0, end).mapToObj(n -> Arguments.of(answer, n));
    }

    /** Guards against delivering the part of an answer before an early end as a whole answer. */
    @ParameterizedTest
    @MethodSource("truncatedAnswers")
    void answerThatEndsEarlyProvesNothing(String answer, int length) {
        BackendConnectionFixture connection = new BackendConnectionFixture();
        connection.send("q1");

        connection.receive(answer.substring(0, length));
        connection.receiveClose();

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Unknown.class);
    }

    /** The same with each byte in a packet of its own. */
    @ParameterizedTest
    @MethodSource("truncatedAnswers")
    void answerThatEndsEarlyInPiecesProvesNothing(String answer, int length) {
        BackendConnectionFixture connection = new BackendConnectionFixture();
        connection.send("q1");

        answer.substring(0, length).chars().forEach(c -> connection.receive(Character.toString(c)));
        connection.receiveClose();

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.Unknown.class);
    }
}
