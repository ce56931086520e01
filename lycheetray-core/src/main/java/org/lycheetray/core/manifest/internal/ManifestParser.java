package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.IntNode;
import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.lycheetray.core.model.Manifest;

/**
 * Parses one manifest, element by element.
 *
 * <p>At most one element of a section is held in memory as a JSON tree, so that memory use depends on the size of the
 * model and not on that of the text.
 */
public final class ManifestParser {
    /** Supported value of the field {@code format}. */
    public static final int FORMAT = 1;

    private static final String FORMAT_FIELD = "format";
    private static final String POLICY_FIELD = "policy";
    private static final List<String> REQUIRED =
            List.of(FORMAT_FIELD, "regions", "services", "routes", "clientAccounts");

    private final JsonParser parser;
    private final ManifestErrorCollector collector;
    private final ManifestBuilder builder = new ManifestBuilder();
    private final NameRegistry names;
    private final JsonValueReader values;
    private final AccountSection accounts;
    private final Map<String, Consumer<ObjectFields>> sections;
    private final Set<String> seen = new HashSet<>();

    /**
     * Creates a parser of one manifest.
     *
     * @param parser JSON parser, positioned before the first token
     * @param collector collects the errors
     */
    public ManifestParser(JsonParser parser, ManifestErrorCollector collector) {
        this.parser = parser;
        this.collector = collector;
        names = new NameRegistry(collector);
        values = new JsonValueReader(parser, collector);
        accounts = new AccountSection(builder, names);
        TopologySection topology = new TopologySection(builder, names);
        ServiceSection services = new ServiceSection(builder, names);
        sections = Map.of(
                "regions", topology::readRegion,
                "links", topology::readLink,
                "services", services::readService,
                "routes", services::readRoute,
                "clientAccounts", accounts::readClientAccount,
                "clientBlocks", topology::readClientBlock,
                "plannedDrains", topology::readPlannedDrain);
    }

    /**
     * Parses the manifest to the end of the text.
     *
     * @return the manifest; valid only if no error was reported
     * @throws IOException if reading the text fails
     */
    public Manifest read() throws IOException {
        try {
            readRoot();
        } catch (JsonProcessingException e) {
            collector.report(JsonPathUtil.of(parser.getParsingContext()), syntaxErrorMessage(e));
            return builder.build();
        }
        for (String field : REQUIRED) {
            if (!seen.contains(field)) {
                collector.report(JsonPathUtil.field(JsonPathUtil.ROOT, field), "missing field");
            }
        }
        names.checkReferences();
        return builder.build();
    }

    private void readRoot() throws IOException {
        JsonToken first = parser.nextToken();
        if (first != JsonToken.START_OBJECT) {
            collector.report(JsonPathUtil.ROOT, "expected an object but was " + (first == null ? "nothing" : first));
            seen.addAll(REQUIRED);
            return;
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            readField(parser.currentName());
        }
        if (parser.nextToken() != null) {
            collector.report(JsonPathUtil.ROOT, "unexpected content after the end of the manifest's object");
        }
    }

    private void readField(String field) throws IOException {
        String path = JsonPathUtil.field(JsonPathUtil.ROOT, field);
        parser.nextToken();
        if (!seen.add(field)) {
            collector.report(path, "duplicate field");
            parser.skipChildren();
        } else if (sections.containsKey(field)) {
            readSection(path, sections.get(field));
        } else if (field.equals(FORMAT_FIELD)) {
            checkFormat(path, values.read(path));
        } else if (field.equals(POLICY_FIELD)) {
            new ObjectFields(values.read(path), path, collector).read(accounts::readPolicy);
        } else {
            collector.report(path, "unknown field");
            parser.skipChildren();
        }
    }

    private void readSection(String path, Consumer<ObjectFields> section) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            collector.report(path, "expected an array but was " + parser.currentToken());
            parser.skipChildren();
            return;
        }
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            String element = JsonPathUtil.element(path, i);
            new ObjectFields(values.read(element), element, collector).read(section);
        }
    }

    private void checkFormat(String path, JsonNode value) {
        if (!value.isIntegralNumber()
                || !value.bigIntegerValue().equals(IntNode.valueOf(FORMAT).bigIntegerValue())) {
            collector.report(path, "expected " + FORMAT + " but was " + value);
        }
    }

    private static String syntaxErrorMessage(JsonProcessingException e) {
        String where = e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + ", column "
                        + e.getLocation().getColumnNr();
        return "not valid JSON" + where + ": " + e.getOriginalMessage();
    }
}
