package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/**
 * Builds the tree of one JSON value and reports duplicate keys of objects.
 *
 * <p>Jackson's tree reader either keeps the last value of a duplicate key or stops at the first duplicate. This reader
 * reports all duplicates and keeps the first value.
 */
final class JsonValueReader {
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final JsonParser parser;
    private final ManifestErrorCollector collector;

    JsonValueReader(JsonParser parser, ManifestErrorCollector collector) {
        this.parser = parser;
        this.collector = collector;
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
                collector.report(keyPath, "duplicate field");
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
