package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.NameUtil;

/**
 * Typed access to the fields of one JSON object.
 *
 * <p>For a missing or invalid field, an error is reported and a placeholder of the right type is returned, so that the
 * caller continues and finds further errors. Placeholders are never used, because a manifest with any error is
 * rejected.
 */
final class ObjectFields {
    private static final String PLACEHOLDER_NAME = "invalid";
    private static final Endpoint PLACEHOLDER_ENDPOINT = new Endpoint("127.0.0.1", 1);

    private final ObjectNode node;
    private final String path;
    private final ManifestErrorCollector collector;
    private final Set<String> readFields = new HashSet<>();

    ObjectFields(JsonNode node, String path, ManifestErrorCollector collector) {
        this.path = path;
        this.collector = collector;
        if (node instanceof ObjectNode object) {
            this.node = object;
        } else {
            this.node = null;
            reportWrongType(path, "an object", node);
        }
    }

    /** Returns whether the value is an object; if it is not, the error has been reported. */
    boolean isPresent() {
        return node != null;
    }

    String pathOf(String field) {
        return JsonPathUtil.field(path, field);
    }

    boolean has(String field) {
        readFields.add(field);
        return node.has(field);
    }

    Optional<String> text(String field) {
        return required(field).flatMap(v -> {
            if (v.isTextual()) {
                return Optional.of(v.textValue());
            }
            reportWrongType(pathOf(field), "a string", v);
            return Optional.empty();
        });
    }

    /** Reads a name and passes it to {@code use} if it is valid. */
    String name(String field, Consumer<String> use) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return PLACEHOLDER_NAME;
        }
        if (!NameUtil.isName(text.get())) {
            collector.report(
                    pathOf(field),
                    "expected a name of at most " + NameUtil.MAX_LENGTH
                            + " characters (lower-case letters, digits and inner hyphens) but was "
                            + quote(text.get()));
            return PLACEHOLDER_NAME;
        }
        use.accept(text.get());
        return text.get();
    }

    Endpoint endpoint(String field, Consumer<String> use) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return PLACEHOLDER_ENDPOINT;
        }
        try {
            Endpoint endpoint = Endpoint.parse(text.get());
            if (!AddressUtil.isIpAddress(endpoint.host())) {
                collector.report(pathOf(field), "expected an IP address and a port but was " + quote(text.get()));
            }
            use.accept(endpoint.toString());
            return endpoint;
        } catch (IllegalArgumentException e) {
            collector.report(pathOf(field), e.getMessage());
            return PLACEHOLDER_ENDPOINT;
        }
    }

    long integer(String field, long min, long max) {
        return required(field).map(v -> checkInteger(field, v, min, max)).orElse(min);
    }

    long integer(String field, long min, long max, long absent) {
        return has(field) ? integer(field, min, max) : absent;
    }

    int smallInteger(String field, int min, int max) {
        return (int) integer(field, min, max);
    }

    Duration millis(String field, Duration min, Duration max) {
        return Duration.ofMillis(integer(field, min.toMillis(), max.toMillis()));
    }

    Duration millis(String field, Duration min, Duration max, Duration absent) {
        return has(field) ? millis(field, min, max) : absent;
    }

    boolean bool(String field) {
        return required(field)
                .map(v -> {
                    if (!v.isBoolean()) {
                        reportWrongType(pathOf(field), "true or false", v);
                    }
                    return v.booleanValue();
                })
                .orElse(false);
    }

    Instant instant(String field) {
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return Instant.EPOCH;
        }
        try {
            return Instant.parse(text.get());
        } catch (DateTimeParseException e) {
            collector.report(
                    pathOf(field), "expected a UTC time such as 2026-01-31T12:00:00Z but was " + quote(text.get()));
            return Instant.EPOCH;
        }
    }

    ArrayNode array(String field) {
        Optional<JsonNode> value = required(field);
        if (value.isPresent() && value.get() instanceof ArrayNode array) {
            return array;
        }
        value.ifPresent(v -> reportWrongType(pathOf(field), "an array", v));
        return JsonNodeFactory.instance.arrayNode();
    }

    /** Reads each element of an array of objects. */
    void objects(String field, Consumer<ObjectFields> use) {
        ArrayNode array = array(field);
        for (int i = 0; i < array.size(); i++) {
            ObjectFields element = new ObjectFields(array.get(i), JsonPathUtil.element(pathOf(field), i), collector);
            element.read(use);
        }
    }

    /** Reads a nested object; reports an error if the field is missing or not an object. */
    void object(String field, Consumer<ObjectFields> use) {
        required(field).ifPresent(v -> new ObjectFields(v, pathOf(field), collector).read(use));
    }

    /** Passes this object to {@code use} and then reports fields that {@code use} has not read as unknown. */
    void read(Consumer<ObjectFields> use) {
        if (!isPresent()) {
            return;
        }
        use.accept(this);
        node.fieldNames().forEachRemaining(field -> {
            if (!readFields.contains(field)) {
                collector.report(pathOf(field), "unknown field");
            }
        });
    }

    void report(String field, String message) {
        collector.report(pathOf(field), message);
    }

    void reportAt(String valuePath, String message) {
        collector.report(valuePath, message);
    }

    void reportHere(String message) {
        collector.report(path, message);
    }

    static String quote(String text) {
        int maxLength = 100;
        return '"' + (text.length() > maxLength ? text.substring(0, maxLength) + "..." : text) + '"';
    }

    private Optional<JsonNode> required(String field) {
        if (!has(field)) {
            collector.report(pathOf(field), "missing field");
            return Optional.empty();
        }
        return Optional.of(node.get(field));
    }

    private long checkInteger(String field, JsonNode v, long min, long max) {
        if (!v.isNumber()) {
            reportWrongType(pathOf(field), "an integer", v);
            return min;
        }
        if (!v.isIntegralNumber() || !v.canConvertToLong() || v.longValue() < min || v.longValue() > max) {
            collector.report(pathOf(field), "expected an integer from " + min + " to " + max + " but was " + v);
            return min;
        }
        return v.longValue();
    }

    private void reportWrongType(String at, String expected, JsonNode found) {
        collector.report(at, "expected " + expected + " but was " + describe(found));
    }

    private static String describe(JsonNode found) {
        return switch (found.getNodeType()) {
            case OBJECT -> "an object";
            case ARRAY -> "an array";
            case STRING -> "the string " + quote(found.textValue());
            case NULL -> "null";
            default -> found.asText();
        };
    }
}
