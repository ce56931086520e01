package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a server's refusal of an earlier request is not taken for one of the request that is running. */
class StaleRefusalTest {
    private static final String WITHOUT_ID = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
    private static final String MISDIRECTED_WITHOUT_ID =
            "HTTP/1.1 421 Misdirected\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

    private BackendConnectionFixture connection;

    @BeforeEach
    void open() {
        connection = new BackendConnectionFixture();
    }

    private static String refusal(String id) {
        return WITHOUT_ID.replace("X-Not-Run", "X-Id: " + id + "\r\nX-Not-Run");
    }

    private static String answer(String id) {
        return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signed: yes\r\nContent-Length: 2\r\n\r\nok";
    }

    private void receiveRefusalOf(String id) {
        connection.send(id);
        connection.receive(refusal(id));
        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.NotRun.class);
        assertThat(connection.isReusable()).isTrue();
    }

    /** Guards against reporting a running request as not run, or running it twice, because of an old refusal. */
    @ParameterizedTest
    @ValueSource(strings = {WITHOUT_ID, MISDIRECTED_WITHOUT_ID})
    void refusalWithoutIdentifierOnAKeptConnectionProvesNothing(String stale) {
        receiveRefusalOf("q1");
        connection.send("q2");

        connection.receive(stale);
        assertThat(connection.results()).hasSize(1);
        connection.receive(answer("q2"));

        assertThat(connection.results()).hasSize(2);
        assertThat(connection.results().getLast()).isInstanceOf(AttemptResult.Answer.class);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void refusalOfAnEarlierRequestProvesNothing() {
        receiveRefusalOf("q1");
        connection.send("q2");

        connection.receive(refusal("q1") + answer("q2"));

        assertThat(connection.results().getLast()).isInstanceOf(AttemptResult.Answer.class);
        assertThat(connection.isReusable()).isFalse();
    }

    @Test
    void connectionThatEndsAfterAStaleRefusalProvesNothing() {
        receiveRefusalOf("q1");
        connection.send("q2");

        connection.receive(WITHOUT_ID);
        connection.receiveClose();

        assertThat(connection.results().getLast()).isInstanceOf(AttemptResult.Unknown.class);
    }

    @Test
    void refusalOnAnIdleConnectionEndsItsUse() {
        receiveRefusalOf("q1");

        connection.receive(refusal("q1"));

        assertThat(connection.isReusable()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {WITHOUT_ID, MISDIRECTED_WITHOUT_ID})
    void refusalWithoutIdentifierAsFirstAnswerOfAConnectionIsBelieved(String refusal) {
        connection.send("q1");

        connection.receive(refusal);

        assertThat(connection.results()).singleElement().isInstanceOf(AttemptResult.NotRun.class);
    }
}
