package org.lycheetray.daemon.http.internal;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.daemon.request.Answer;
import org.lycheetray.daemon.request.RateLimits;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.Response;
import org.lycheetray.daemon.request.internal.HeaderUtil;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerResponse;

/** Writes the answers of backend servers, and refusals as problem details (RFC 9457). */
public final class ResponseWriter {
    private static final String OUTCOME_HEADER = "Lycheetray-Outcome";
    private static final String REGION_HEADER = "Lycheetray-Region";
    private static final String PROBLEM_TYPE = "application/problem+json";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ResponseWriter() {}

    /**
     * Writes a response.
     *
     * @param res the HTTP response to write to
     * @param id identifier of the request
     * @param localRegion region of the local VM, sent in responses that no backend server produced
     * @param response the response
     * @return completes when the response has been written
     */
    public static Mono<Void> write(HttpServerResponse res, RequestId id, String localRegion, Response response) {
        HttpHeaders headers = res.responseHeaders();
        if (response.content() instanceof Response.Content.Answered(Answer a)) {
            headers.add(a.headers());
        }
        headers.set(HeaderUtil.REQUEST_ID, id.value());
        headers.set(REGION_HEADER, response.region().map(Object::toString).orElse(localRegion));
        response.limits().ifPresent(l -> setRateLimitHeaders(headers, l));
        return switch (response.content()) {
            case Response.Content.Answered a -> writeAnswer(res, a.answer());
            case Response.Content.Refused r -> writeRefusal(res, id, r.refusal());
        };
    }

    private static Mono<Void> writeAnswer(HttpServerResponse res, Answer answer) {
        res.status(answer.status()).header(OUTCOME_HEADER, Outcome.ANSWERED.label());
        return switch (answer) {
            case Answer.Buffered w -> {
                byte[] bytes = w.body().bytes();
                res.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length));
                yield res.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                        .then();
            }
            case Answer.Streamed s -> res.send(s.content()).then();
        };
    }

    private static Mono<Void> writeRefusal(HttpServerResponse res, RequestId id, Refusal refusal) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", refusal.reason().label());
        problem.put("status", refusal.reason().status());
        problem.put("detail", refusal.detail());
        problem.put("reason", refusal.reason().label());
        problem.put("outcome", refusal.reason().outcome().label());
        problem.put("requestId", id.value());
        refusal.retryAfter().ifPresent(d -> res.header(HttpHeaderNames.RETRY_AFTER, Long.toString(ceilSeconds(d))));
        byte[] bytes = problem.toString().getBytes(StandardCharsets.UTF_8);
        return res.status(refusal.reason().status())
                .header(OUTCOME_HEADER, refusal.reason().outcome().label())
                .header(HttpHeaderNames.CONTENT_TYPE, PROBLEM_TYPE)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length))
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                .then();
    }

    private static void setRateLimitHeaders(HttpHeaders headers, RateLimits l) {
        long window = Math.max(1, Math.ceilDiv(l.burst(), l.requestsPerSecond()));
        headers.set("RateLimit-Policy", "\"account\";q=" + l.burst() + ";w=" + window);
        headers.set("RateLimit", "\"account\";r=" + l.remaining() + ";t=" + ceilSeconds(l.resetAfter()));
    }

    private static long ceilSeconds(Duration d) {
        return Math.max(1, Math.ceilDiv(d.toMillis(), 1000));
    }
}
