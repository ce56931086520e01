package org.lycheetray.daemon.admission;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/**
 * The table row {@code share/VM}, which names the process that may use the base share of a VM.
 *
 * @param holder process that uses the share
 */
record ShareRow(Incarnation holder) {
    private static final ObjectMapper JSON = new ObjectMapper();

    static RowKey key(VmName share) {
        return new RowKey("share/" + share);
    }

    static ShareRow parse(Row row) {
        try {
            JsonNode node = JSON.readTree(row.value());
            VmName vm = new VmName(node.path("vm").asText());
            return new ShareRow(new Incarnation(vm, node.path("incarnation").asLong()));
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("row " + row.key() + " is not JSON", e);
        }
    }

    /** Returns the change that claims the share for a process, whichever process holds it at present. */
    static RowChange claim(VmName share, Optional<Row> present, Incarnation localIncarnation) {
        String value = JSON.createObjectNode()
                .put("vm", localIncarnation.vm().value())
                .put("incarnation", localIncarnation.number())
                .toString();
        return new RowChange.Put(key(share), present.map(Row::revision).orElse(RowChange.ABSENT), value);
    }
}
