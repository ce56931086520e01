package org.lycheetray.edge.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that a server's second answer to a request, in any form and at any time, does not reach the caller of another
 * request, whole or in part.
 */
class RepeatedAnswerTest {
    private static final String BODY = "first answer of the server";
    private static final String REPEATED_BODY = "second answer of the server";
    private static final String NEXT_BODY = "answer to the next request";
    private static final String UNKNOWN = "unknown";
    private static final String NOT_RUN = "not-run";
    private static final List<HttpMethod> METHODS = List.of(HttpMethod.POST, HttpMethod.HEAD);

    /** Second answers to the request q1. */
    static Stream<String> repeatedAnswers() {
        String id = "X-Id: q1\r\n";
        String signed = id + "X-Signed: 1\r\n";
        String notRun = "X-Not-Run: 1\r\n";
        return Stream.of(
                answer("200 OK", signed, REPEATED_BODY),
                answer("200 OK", id, REPEATED_BODY),
                answer("200 OK", "X-Signed: 1\r\n", REPEATED_BODY),
                answer("500 Error", signed, REPEATED_BODY),
                answer("503 Busy", signed, REPEATED_BODY),
                answer("503 Busy", id + notRun, REPEATED_BODY),
                answer("503 Busy", notRun, REPEATED_BODY),
                answer("421 Misdirected", id + notRun, ""),
                answer("421 Misdirected", notRun, ""),
                answer("429 Slow", id + notRun, ""),
                answer("200 OK", signed + "Connection: close\r\n", REPEATED_BODY),
                answer("200 OK", signed, REPEATED_BODY) + "surplus",
                answer("200 OK", signed + "X-Id: q2\r\n", REPEATED_BODY),
                answer("200 OK", "X-Id: q2\r\n" + signed, REPEATED_BODY),
                answer("503 Busy", "X-Id: q2\r\n" + id + notRun, ""),
                answer("200 OK", signed + "Content-Length: 3\r\n", REPEATED_BODY),
                answer("200 OK", signed + "Transfer-Encoding: chunked\r\n", chunks("")),
                "\r\n\r\n" + answer("200 OK", signed, REPEATED_BODY),
                "\0\t " + answer("200 OK", signed, REPEATED_BODY),
                "junk" + answer("200 OK", signed, REPEATED_BODY),
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n" + answer("200 OK", signed, REPEATED_BODY),
                "HTTP/1.1 103 Hints\r\n" + signed + "\r\n",
                "HTTP/1.1 101 Switching\r\n" + signed + "Upgrade: x\r\n\r\n",
                "HTTP/1.1 204 Nothing\r\n" + signed + "\r\n",
                "HTTP/1.1 304 Unchanged\r\n" + signed + "Content-Length: 9\r\n\r\n",
                "HTTP/1.1 200 OK\r\n" + signed + "Content-Length: 9\r\n\r\n",
                "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n" + chunks(""),
                "HTTP/1.1 200 OK\r\n" + signed + "Transfer-Encoding: chunked\r\n\r\n" + chunks("X-Id: q2\r\n"),
                "HTTP/1.1 200 OK\r\n" + signed + "\r\n" + REPEATED_BODY,
                "HTTP/1.0 200 OK\r\n" + signed + "\r\n" + REPEATED_BODY,
                "HTTP/1.1 200 \r\n" + id + "Content-Length: 0\r\n\r\n",
                "HTTP/1.1 500\r\n" + id + "Content-Length: 0\r\n\r\n",
                "surplus bytes\r\n\r\n");
    }

    private static String answer(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static String signed(String status, String id, String body) {
        return answer(status, "X-Id: " + id + "\r\nX-Signed: 1\r\n", body);
    }

    private static String chunks(String trailers) {
        return "6\r\nsecond\r\n0\r\n" + trailers + "\r\n";
    }

    /** Part of the second answer arrives before the next request is sent, the rest after it. */
    @ParameterizedTest
    @MethodSource("repeatedAnswers")
    void lateSecondAnswerDoesNotReachTheNextCaller(String repeated) {
        List<String> faults = new ArrayList<>();
        for (HttpMethod method : METHODS) {
            for (int early = 0; early <= repeated.length(); early++) {
                for (Delivery d : Delivery.values()) {
                    BackendConnectionFixture c = new BackendConnectionFixture();
                    c.send("q1");
                    d.receive(c, signed("200 OK", "q1", BODY), repeated.substring(0, early));
                    if (c.isReusable()) {
                        c.send("q2", method);
                        d.receive(c, repeated.substring(early), nextAnswer(method));
                    }
                    check(faults, method + " " + d + " early=" + early, c, method);
                }
            }
        }
        assertThat(faults).isEmpty();
    }

    /** Guards against second answers that leave no trace in logs and metrics. */
    @ParameterizedTest
    @EnumSource(Delivery.class)
    void secondAnswerBeforeTheNextRequestIsReportedOnce(Delivery delivery) {
        BackendConnectionFixture c = new BackendConnectionFixture();
        c.send("q1");

        delivery.receive(c, signed("200 OK", "q1", BODY), signed("200 OK", "q1", REPEATED_BODY));

        assertThat(c.surplus()).containsExactly("q1");
        assertThat(c.isReusable()).isFalse();
    }

    @Test
    void answerThatEndsWithItsConnectionHasNoSurplus() {
        BackendConnectionFixture c = new BackendConnectionFixture();
        c.send("q1");

        c.receive("HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n\r\n" + BODY);
        c.receiveClose();

        assertThat(c.results()).hasSize(1);
        assertThat(c.surplus()).isEmpty();
    }

    /** The second answer stops at any byte and is followed by the answer to the next request. */
    @ParameterizedTest
    @MethodSource("repeatedAnswers")
    void truncatedSecondAnswerDoesNotChangeTheNextAnswer(String repeated) {
        List<String> faults = new ArrayList<>();
        for (HttpMethod method : METHODS) {
            for (int length = 0; length <= repeated.length(); length++) {
                for (Delivery d : Delivery.values()) {
                    BackendConnectionFixture c = new BackendConnectionFixture();
                    c.send("q1");
                    c.receive(signed("200 OK", "q1", BODY));
                    c.send("q2", method);
                    d.receive(c, repeated.substring(0, length), nextAnswer(method));
                    check(faults, method + " " + d + " length=" + length, c, method);
                }
            }
        }
        assertThat(faults).isEmpty();
    }

    /** The first answer stops at any byte and is followed by a second one to the same request. */
    @ParameterizedTest
    @ValueSource(strings = {"200 OK", "500 Error", "503 Busy"})
    void truncatedAnswerIsNotFilledUpByTheSecond(String status) {
        List<String> faults = new ArrayList<>();
        String chunked = "HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\n" + BODY
                + "\r\n0\r\n\r\n";
        String repeated = status.startsWith("503")
                ? answer(status, "X-Id: q1\r\nX-Not-Run: 1\r\n", REPEATED_BODY)
                : signed(status, "q1", REPEATED_BODY);
        String second = status.substring(0, 3) + " q1 " + REPEATED_BODY;
        for (String first : List.of(signed("200 OK", "q1", BODY), signed("500 Error", "q1", BODY), chunked)) {
            String whole = first.substring(9, 12) + " q1 " + BODY;
            for (int length = 1; length <= first.length(); length++) {
                for (Delivery d : Delivery.values()) {
                    BackendConnectionFixture c = new BackendConnectionFixture();
                    c.send("q1");
                    d.receive(c, first.substring(0, length), repeated);
                    c.results().stream()
                            .map(RepeatedAnswerTest::describe)
                            .filter(r -> !Set.of(whole, second, UNKNOWN).contains(r))
                            .forEach(r -> faults.add(d + " " + first.substring(9, 12) + " length=" + r));
                }
            }
        }
        assertThat(faults).isEmpty();
    }

    private static String nextAnswer(HttpMethod method) {
        String whole = signed("404 None", "q2", NEXT_BODY);
        return method.equals(HttpMethod.HEAD) ? whole.substring(0, whole.length() - NEXT_BODY.length()) : whole;
    }

    /** Checks that the first request has its own answer, and the next one its own, an unknown one or none. */
    private static void check(List<String> faults, String when, BackendConnectionFixture c, HttpMethod method) {
        List<String> results =
                c.results().stream().map(RepeatedAnswerTest::describe).toList();
        String next = "404 q2 " + (method.equals(HttpMethod.HEAD) ? "" : NEXT_BODY);
        boolean first = results.getFirst().equals("200 q1 " + BODY);
        boolean second = results.size() == 1 || Set.of(next, UNKNOWN).contains(results.get(1));
        if (!first || !second || results.size() > 2) {
            faults.add(when + ": " + results);
        }
    }

    private static String describe(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answer a ->
                a.status() + " " + String.join(",", a.headers().getAll("X-Id")) + " "
                        + new String(a.body().bytes(), StandardCharsets.ISO_8859_1);
            case AttemptResult.NotRun n -> NOT_RUN;
            case AttemptResult.Unknown u -> UNKNOWN;
        };
    }

    /** How two runs of bytes arrive at the connection. */
    enum Delivery {
        ONE_READ {
            @Override
            void receive(BackendConnectionFixture c, String first, String second) {
                c.receive(first + second);
            }
        },
        TWO_READS {
            @Override
            void receive(BackendConnectionFixture c, String first, String second) {
                c.receive(first);
                c.receive(second);
            }
        };

        abstract void receive(BackendConnectionFixture c, String first, String second);
    }
}
