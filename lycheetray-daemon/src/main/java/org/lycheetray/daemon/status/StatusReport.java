package org.lycheetray.daemon.status;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.function.Consumer;
import org.lycheetray.daemon.control.ControlThread;
import reactor.core.publisher.Mono;

/**
 * Collects the state of a VM for operators, with one section per subsystem.
 *
 * <p>Sections are written on the control thread, because the state of the subsystems is confined to it.
 */
public final class StatusReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ControlThread control;
    private final Map<String, Consumer<ObjectNode>> sections = new ConcurrentSkipListMap<>();

    /**
     * Creates a report without sections.
     *
     * @param control thread on which the sections are written
     */
    public StatusReport(ControlThread control) {
        this.control = control;
    }

    /**
     * Registers a section.
     *
     * @param name name of the section, one word
     * @param writer writes the section into the given object; called on the control thread and must not block
     */
    public void addSection(String name, Consumer<ObjectNode> writer) {
        sections.put(name, writer);
    }

    /**
     * Returns all sections as JSON.
     *
     * @return a JSON object with one member per section
     */
    public Mono<JsonNode> toJson() {
        return control.call(this::writeSections);
    }

    private JsonNode writeSections() {
        ObjectNode all = JSON.createObjectNode();
        sections.forEach((name, writer) -> writer.accept(all.putObject(name)));
        return all;
    }
}
