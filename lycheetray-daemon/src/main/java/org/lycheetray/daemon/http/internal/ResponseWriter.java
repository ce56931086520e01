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

/** Writes answers and refusals. */
public final class ResponseWriter {
    private static final String OUTCOME = "Lycheetray-Outcome";
    private static final String REGION = "Lycheetray-Region";
    private static final String PROBLEM = "application/problem+json";
    private static final ObjectMapper JSON = new ObjectMapper();

    private ResponseWriter() {}

    /**
     * Writes a response.
     *
     * @param res where to write
     * @param id identity of the request
     * @param ownRegion region of this VM, for responses without a backend server
     * @param response the response
     * @return completes when written
     */
    public static Mono<Void> write(HttpServerResponse res, RequestId id, String ownRegion, Response response) {
        HttpHeaders headers = res.responseHeaders();
        if (response.content() instanceof Response.Content.Answered(Answer a)) {
            headers.add(a.headers());
        }
        headers.set(HeaderUtil.REQUEST_ID, id.value());
        headers.set(REGION, response.region().map(Object::toString).orElse(ownRegion));
        response.limits().ifPresent(l -> limits(headers, l));
        return switch (response.content()) {
            case Response.Content.Answered a -> answer(res, a.answer());
            case Response.Content.Refused r -> refusal(res, id, r.refusal());
        };
    }

    private static Mono<Void> answer(HttpServerResponse res, Answer answer) {
        res.status(answer.status()).header(OUTCOME, Outcome.ANSWERED.label());
        return switch (answer) {
            case Answer.Whole w -> {
                byte[] bytes = w.body().bytes();
                res.header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length));
                yield res.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                        .then();
            }
            case Answer.Streamed s -> res.send(s.content()).then();
        };
    }

    private static Mono<Void> refusal(HttpServerResponse res, RequestId id, Refusal refusal) {
        ObjectNode problem = JSON.createObjectNode();
        problem.put("type", "about:blank");
        problem.put("title", refusal.reason().label());
        problem.put("status", refusal.reason().status());
        problem.put("detail", refusal.detail());
        problem.put("reason", refusal.reason().label());
        problem.put("outcome", refusal.reason().outcome().label());
        problem.put("requestId", id.value());
        refusal.retryAfter().ifPresent(d -> res.header(HttpHeaderNames.RETRY_AFTER, Long.toString(seconds(d))));
        byte[] bytes = problem.toString().getBytes(StandardCharsets.UTF_8);
        return res.status(refusal.reason().status())
                .header(OUTCOME, refusal.reason().outcome().label())
                .header(HttpHeaderNames.CONTENT_TYPE, PROBLEM)
                .header(HttpHeaderNames.CONTENT_LENGTH, Integer.toString(bytes.length))
                .send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(bytes)))
                .then();
    }

    private static void limits(HttpHeaders headers, RateLimits l) {
        long window = Math.max(1, Math.ceilDiv(l.burst(), l.perSecond()));
        headers.set("RateLimit-Policy", "\"account\";q=" + l.burst() + ";w=" + window);
        headers.set("RateLimit", "\"account\";r=" + l.remaining() + ";t=" + seconds(l.reset()));
    }

    private static long seconds(Duration d) {
        return Math.max(1, Math.ceilDiv(d.toMillis(), 1000));
    }
}
