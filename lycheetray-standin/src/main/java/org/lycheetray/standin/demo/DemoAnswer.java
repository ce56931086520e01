package org.lycheetray.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Duration;

/**
 * What came back.
 *
 * @param status HTTP status, 0 if none came
 * @param outcome value of {@code Lycheetray-Outcome}, empty if missing
 * @param requestId value of {@code Lycheetray-Request-Id}, empty if missing
 * @param region value of {@code Lycheetray-Region}, empty if missing
 * @param retryAfter value of {@code Retry-After}, empty if missing
 * @param body parsed body, an empty object if it is no JSON
 * @param time time until the whole answer was there
 */
record DemoAnswer(
        int status, String outcome, String requestId, String region, String retryAfter, JsonNode body, Duration time) {
    /** Gives the backend server that ran the request, empty if none did. */
    String server() {
        return body.path("server").asText("");
    }

    /** Gives the reason of a refusal, empty for an answer. */
    String reason() {
        return body.path("reason").asText("");
    }

    /** Gives the request's identity as the backend server saw it. */
    String requestIdAtServer() {
        return body.path("requestId").asText("");
    }

    /** Gives the client account as the backend server was told it. */
    String account() {
        return body.path("account").asText("");
    }

    boolean isAnswered() {
        return status == 200 && outcome.equals("answered");
    }

    boolean isRefusedNotRun(int expectedStatus) {
        return status == expectedStatus && outcome.equals("not-run");
    }
}
