package org.lycheetray.core.membership.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.util.Optional;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;

/**
 * Content of the lease row of a data centre.
 *
 * @param holder incarnation that holds the lease
 * @param term fencing token; increases with each change of holder
 * @param renewal counter of the holder's writes; identifies a write whose response was lost
 * @param released true if the holder released the lease
 */
public record LeadRow(Incarnation holder, long term, long renewal, boolean released) {
    private static final JsonMapper MAPPER = new JsonMapper();

    /**
     * Serializes the content as JSON.
     *
     * @return the JSON text
     */
    public String toJson() {
        return MAPPER.createObjectNode()
                .put("vm", holder.vm().value())
                .put("incarnation", holder.number())
                .put("term", term)
                .put("renewal", renewal)
                .put("released", released)
                .toString();
    }

    /**
     * Parses the content.
     *
     * @param json the JSON text
     * @return the content, empty if the text is not a valid lease row
     */
    public static Optional<LeadRow> parse(String json) {
        try {
            JsonNode n = MAPPER.readTree(json);
            Incarnation holder = new Incarnation(
                    new VmName(n.path("vm").asText()), n.path("incarnation").asLong());
            return Optional.of(new LeadRow(
                    holder,
                    n.path("term").asLong(),
                    n.path("renewal").asLong(),
                    n.path("released").asBoolean()));
        } catch (JsonProcessingException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
