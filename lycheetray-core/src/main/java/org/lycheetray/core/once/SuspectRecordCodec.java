package org.lycheetray.core.once;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;

/** Encodes suspect records as JSON, both for rows and for messages between VMs. */
public final class SuspectRecordCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private SuspectRecordCodec() {}

    /**
     * Encodes a record.
     *
     * @param r the record
     * @return JSON text
     */
    public static String encode(SuspectRecord r) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("digest", r.digest().hex());
        node.put("clearedAt", r.clearedAt().toEpochMilli());
        var crashes = node.putArray("crashes");
        for (CrashObservation c : r.crashes()) {
            crashes.addObject()
                    .put("server", c.server().value())
                    .put("at", c.at().toEpochMilli())
                    .put("suspects", c.suspects());
        }
        return node.toString();
    }

    /**
     * Decodes a record.
     *
     * @param text JSON text
     * @return the record, or empty if the text is malformed
     */
    public static Optional<SuspectRecord> decode(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            List<CrashObservation> crashes = new ArrayList<>();
            for (JsonNode c : node.path("crashes")) {
                crashes.add(new CrashObservation(
                        new BackendServerName(c.path("server").asText()),
                        Instant.ofEpochMilli(c.path("at").asLong()),
                        c.path("suspects").asInt()));
            }
            Instant cleared = Instant.ofEpochMilli(node.path("clearedAt").asLong());
            RequestDigest digest = new RequestDigest(node.path("digest").asText());
            return digest.hex().isEmpty() ? Optional.empty() : Optional.of(new SuspectRecord(digest, crashes, cleared));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
