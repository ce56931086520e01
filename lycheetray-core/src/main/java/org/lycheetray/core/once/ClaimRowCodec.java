package org.lycheetray.core.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lycheetray.core.once.StoredAnswer.Body;

/** Encodes claim rows and attempt results as JSON. */
public final class ClaimRowCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final String NOT_RUN = "not-run";

    private ClaimRowCodec() {}

    /**
     * Encodes the content of a claim row.
     *
     * @param row the content
     * @return JSON text; equal content results in equal text
     */
    public static String encode(ClaimRow row) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("state", row.state().name().toLowerCase(Locale.ROOT));
        node.put("attempt", row.attempt().toString());
        node.put("digest", row.digest().hex());
        node.put("received", row.received().toEpochMilli());
        row.answer().ifPresent(a -> encodeAnswer(node.putObject("answer"), a));
        return node.toString();
    }

    /**
     * Decodes the content of a claim row.
     *
     * @param text JSON text
     * @return the content, or empty if the text is malformed
     */
    public static Optional<ClaimRow> decode(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            ClaimRow.State state =
                    ClaimRow.State.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT));
            Instant received = Instant.ofEpochMilli(node.path("received").asLong());
            RequestDigest digest = new RequestDigest(node.path("digest").asText());
            Optional<StoredAnswer> answer = decodeAnswer(node.path("answer"));
            return AttemptId.parse(node.path("attempt").asText())
                    .filter(a -> answer.isPresent() == (state == ClaimRow.State.ANSWERED))
                    .map(a -> new ClaimRow(state, a, digest, received, answer));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    /**
     * Encodes the result of an attempt for another VM.
     *
     * @param result the result
     * @return JSON text
     */
    public static String encodeResult(AttemptResult result) {
        ObjectNode node = MAPPER.createObjectNode();
        switch (result) {
            case AttemptResult.Answered a -> encodeAnswer(node.putObject("answer"), a.answer());
            case AttemptResult.NotRun n -> node.put("state", NOT_RUN);
            case AttemptResult.Unknown u -> node.put("state", "unknown");
        }
        return node.toString();
    }

    /**
     * Decodes the result of an attempt.
     *
     * @param text JSON text from another VM
     * @return the result; {@link AttemptResult.Unknown} if the text is malformed
     */
    public static AttemptResult decodeResult(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            if (node.path("state").asText().equals(NOT_RUN)) {
                return new AttemptResult.NotRun();
            }
            return decodeAnswer(node.path("answer"))
                    .<AttemptResult>map(AttemptResult.Answered::new)
                    .orElseGet(AttemptResult.Unknown::new);
        } catch (JsonProcessingException e) {
            return new AttemptResult.Unknown();
        }
    }

    private static void encodeAnswer(ObjectNode node, StoredAnswer answer) {
        node.put("status", answer.status());
        var headers = node.putArray("headers");
        answer.headers().forEach(h -> headers.addArray().add(h.name()).add(h.value()));
        switch (answer.body()) {
            case Body.Inline b -> node.put("body", b.base64());
            case Body.InObject o -> node.put("object", o.name()).put("length", o.length());
            case Body.NotKept n -> node.put("kept", false);
        }
    }

    private static Optional<StoredAnswer> decodeAnswer(JsonNode node) {
        if (!node.isObject()) {
            return Optional.empty();
        }
        List<HeaderField> headers = new ArrayList<>();
        for (JsonNode h : node.path("headers")) {
            headers.add(new HeaderField(h.path(0).asText(), h.path(1).asText()));
        }
        return Optional.of(new StoredAnswer(node.path("status").asInt(), headers, decodeBody(node)));
    }

    private static Body decodeBody(JsonNode node) {
        if (node.has("body")) {
            return new Body.Inline(node.get("body").asText());
        }
        if (node.has("object")) {
            return new Body.InObject(
                    node.get("object").asText(), node.path("length").asLong());
        }
        return new Body.NotKept();
    }
}
