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
 * Reads one manifest element by element.
 *
 * <p>Only one element of a section stands in memory as a JSON tree, so that memory follows the model's size and not the
 * text's.
 */
public final class ManifestDocument {
    /** Value of the field {@code format}. */
    public static final int FORMAT = 1;

    private static final String FORMAT_FIELD = "format";
    private static final String POLICY_FIELD = "policy";
    private static final List<String> REQUIRED =
            List.of(FORMAT_FIELD, "regions", "services", "routes", "clientAccounts");

    private final JsonParser parser;
    private final ManifestReporter reporter;
    private final ManifestDraft draft = new ManifestDraft();
    private final NameRegister names;
    private final JsonValueReader values;
    private final AccountSection accounts;
    private final Map<String, Consumer<ObjectFields>> sections;
    private final Set<String> seen = new HashSet<>();

    /**
     * Prepares to read.
     *
     * @param parser stands before the first token
     * @param reporter receives errors
     */
    public ManifestDocument(JsonParser parser, ManifestReporter reporter) {
        this.parser = parser;
        this.reporter = reporter;
        names = new NameRegister(reporter);
        values = new JsonValueReader(parser, reporter);
        accounts = new AccountSection(draft, names);
        TopologySection topology = new TopologySection(draft, names);
        ServiceSection services = new ServiceSection(draft, names);
        sections = Map.of(
                "regions", topology::region,
                "links", topology::link,
                "services", services::service,
                "routes", services::route,
                "clientAccounts", accounts::clientAccount,
                "clientBlocks", topology::clientBlock,
                "plannedDrains", topology::plannedDrain);
    }

    /**
     * Reads to the end of the text.
     *
     * @return the manifest; good only if nothing was reported
     * @throws IOException if the source fails
     */
    public Manifest read() throws IOException {
        try {
            readRoot();
        } catch (JsonProcessingException e) {
            reporter.report(JsonPathUtil.of(parser.getParsingContext()), syntaxProblem(e));
            return draft.toManifest();
        }
        for (String field : REQUIRED) {
            if (!seen.contains(field)) {
                reporter.report(JsonPathUtil.field(JsonPathUtil.ROOT, field), "missing field");
            }
        }
        names.checkReferences();
        return draft.toManifest();
    }

    private void readRoot() throws IOException {
        JsonToken first = parser.nextToken();
        if (first != JsonToken.START_OBJECT) {
            reporter.report(JsonPathUtil.ROOT, "expected an object but was " + (first == null ? "nothing" : first));
            seen.addAll(REQUIRED);
            return;
        }
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            readField(parser.currentName());
        }
        if (parser.nextToken() != null) {
            reporter.report(JsonPathUtil.ROOT, "nothing may follow the manifest's object");
        }
    }

    private void readField(String field) throws IOException {
        String path = JsonPathUtil.field(JsonPathUtil.ROOT, field);
        parser.nextToken();
        if (!seen.add(field)) {
            reporter.report(path, "this key occurs twice in its object");
            parser.skipChildren();
        } else if (sections.containsKey(field)) {
            readSection(path, sections.get(field));
        } else if (field.equals(FORMAT_FIELD)) {
            checkFormat(path, values.read(path));
        } else if (field.equals(POLICY_FIELD)) {
            new ObjectFields(values.read(path), path, reporter).read(accounts::policy);
        } else {
            reporter.report(path, "unknown field");
            parser.skipChildren();
        }
    }

    private void readSection(String path, Consumer<ObjectFields> section) throws IOException {
        if (parser.currentToken() != JsonToken.START_ARRAY) {
            reporter.report(path, "expected an array but was " + parser.currentToken());
            parser.skipChildren();
            return;
        }
        for (int i = 0; parser.nextToken() != JsonToken.END_ARRAY; i++) {
            String element = JsonPathUtil.element(path, i);
            new ObjectFields(values.read(element), element, reporter).read(section);
        }
    }

    private void checkFormat(String path, JsonNode value) {
        if (!value.isIntegralNumber()
                || !value.bigIntegerValue().equals(IntNode.valueOf(FORMAT).bigIntegerValue())) {
            reporter.report(path, "expected " + FORMAT + " but was " + value);
        }
    }

    private static String syntaxProblem(JsonProcessingException e) {
        String where = e.getLocation() == null
                ? ""
                : " at line " + e.getLocation().getLineNr() + ", column "
                        + e.getLocation().getColumnNr();
        return "not valid JSON" + where + ": " + e.getOriginalMessage();
    }
}
