package org.lycheetray.daemon.running;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import org.lycheetray.core.once.AttemptId;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.HeaderField;
import org.lycheetray.core.once.StoredAnswer;
import org.lycheetray.daemon.request.Answer;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PutResult;
import reactor.core.publisher.Mono;

/** Stores complete answers for replay: small ones inline in the claim's row, larger ones in the object store. */
final class ClaimAnswerStore {
    private static final String PREFIX = "claim-answer/";
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);

    private final ObjectStore objects;

    ClaimAnswerStore(ObjectStore objects) {
        this.objects = objects;
    }

    /**
     * Stores the answer, if there is one, and returns the attempt's result for the claim's row. The Mono never signals
     * an error.
     */
    Mono<AttemptResult> storeResult(AttemptId attempt, org.lycheetray.daemon.request.AttemptResult result) {
        return switch (result) {
            case org.lycheetray.daemon.request.AttemptResult.Answered a ->
                store(attempt, a.answer()).map(AttemptResult.Answered::new);
            case org.lycheetray.daemon.request.AttemptResult.NotRun n -> Mono.just(new AttemptResult.NotRun());
            case org.lycheetray.daemon.request.AttemptResult.Uncertain u -> Mono.just(new AttemptResult.Unknown());
        };
    }

    /** Returns the stored answer, or empty if its body was not stored or cannot be read. */
    Mono<Answer.Buffered> load(StoredAnswer stored) {
        HttpHeaders headers = new DefaultHttpHeaders();
        stored.headers().forEach(h -> headers.add(h.name(), h.value()));
        return loadBody(stored.body()).map(body -> new Answer.Buffered(stored.status(), headers, body));
    }

    private Mono<Body> loadBody(StoredAnswer.Body body) {
        return switch (body) {
            case StoredAnswer.Body.Inline b -> Mono.just(new Body(b.bytes()));
            case StoredAnswer.Body.NotKept n -> Mono.empty();
            case StoredAnswer.Body.InObject o ->
                objects.get(o.name())
                        .timeout(STORE_TIMEOUT)
                        .flatMap(Mono::justOrEmpty)
                        .filter(bytes -> bytes.length == o.length())
                        .map(Body::new)
                        .onErrorResume(e -> Mono.empty());
        };
    }

    private Mono<StoredAnswer> store(AttemptId attempt, Answer answer) {
        List<HeaderField> headers = answer.headers().entries().stream()
                .map(h -> new HeaderField(h.getKey(), h.getValue()))
                .toList();
        Mono<StoredAnswer.Body> body = switch (answer) {
            case Answer.Buffered w -> store(attempt, w.body().bytes());
            case Answer.Streamed s -> Mono.just(new StoredAnswer.Body.NotKept());
        };
        return body.map(b -> new StoredAnswer(answer.status(), headers, b));
    }

    private Mono<StoredAnswer.Body> store(AttemptId attempt, byte[] bytes) {
        if (bytes.length <= StoredAnswer.MAX_INLINE_BYTES) {
            return Mono.just(StoredAnswer.Body.Inline.of(bytes));
        }
        String name = PREFIX + attempt;
        return objects.putIfAbsent(name, bytes)
                .timeout(STORE_TIMEOUT)
                .filter(r -> r == PutResult.STORED)
                .<StoredAnswer.Body>map(r -> new StoredAnswer.Body.InObject(name, bytes.length))
                .onErrorResume(e -> Mono.empty())
                .defaultIfEmpty(new StoredAnswer.Body.NotKept());
    }
}
