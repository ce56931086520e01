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
 * Gathers a VM's state from its subsystems, one section each.
 *
 * <p>Sections are filled in on the control thread, where the state lives.
 */
public final class StatusReport {
    private static final ObjectMapper JSON = new ObjectMapper();

    private final ControlThread control;
    private final Map<String, Consumer<ObjectNode>> sections = new ConcurrentSkipListMap<>();

    /**
     * Creates a report without sections.
     *
     * @param control fills in the sections
     */
    public StatusReport(ControlThread control) {
        this.control = control;
    }

    /**
     * Adds a section.
     *
     * @param name name of the section, one word
     * @param writer fills it in; called on the control thread, must not block
     */
    public void section(String name, Consumer<ObjectNode> writer) {
        sections.put(name, writer);
    }

    /**
     * Writes all sections.
     *
     * @return a JSON object with a member per section
     */
    public Mono<JsonNode> write() {
        return control.call(this::collect);
    }

    private JsonNode collect() {
        ObjectNode all = JSON.createObjectNode();
        sections.forEach((name, writer) -> writer.accept(all.putObject(name)));
        return all;
    }
}
