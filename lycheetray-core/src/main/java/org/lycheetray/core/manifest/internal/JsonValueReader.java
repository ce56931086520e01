package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Builds the tree of one JSON value and reports keys that occur twice in an object.
 *
 * <p>Jackson's own tree reader either takes the last of two equal keys or stops at the first pair; here all of them are
 * reported and the first value is kept.
 */
final class JsonValueReader {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final JsonParser parser;
    private final ManifestReporter reporter;

    JsonValueReader(JsonParser parser, ManifestReporter reporter) {
        this.parser = parser;
        this.reporter = reporter;
    }

    JsonNode read(String path) throws IOException {
        return switch (parser.currentToken()) {
            case START_OBJECT -> readObject(path);
            case START_ARRAY -> readArray(path);
            case VALUE_STRING -> NODES.textNode(parser.getText());
            case VALUE_NUMBER_INT -> NODES.numberNode(parser.getBigIntegerValue());
            case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDecimalValue());
            case VALUE_TRUE -> NODES.booleanNode(true);
            case VALUE_FALSE -> NODES.booleanNode(false);
            default -> NODES.nullNode();
        };
    }

    private ObjectNode readObject(String path) throws IOException {
        ObjectNode node = NODES.objectNode();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String key = parser.currentName();
            String keyPath = JsonPathUtil.field(path, key);
            parser.nextToken();
            JsonNode value = read(keyPath);
            if (node.has(key)) {
                reporter.report(keyPath, "this key occurs twice in its object");
            } else {
                node.set(key, value);
            }
        }
        return node;
    }

    private ArrayNode readArray(String path) throws IOException {
        ArrayNode node = NODES.arrayNode();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            node.add(read(JsonPathUtil.element(path, node.size())));
        }
        return node;
    }
}
