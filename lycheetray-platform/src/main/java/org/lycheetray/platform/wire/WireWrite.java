package org.lycheetray.platform.wire;

import java.util.List;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/**
 * A conditional write in JSON.
 *
 * @param changes the changes, applied together
 */
public record WireWrite(List<WireChange> changes) {
    /** Name of {@link RowChange.Put}. */
    private static final String PUT = "put";

    /** Name of {@link RowChange.Delete}. */
    private static final String DELETE = "delete";

    /** Name of {@link RowChange.Check}. */
    private static final String CHECK = "check";

    /**
     * One change.
     *
     * @param op {@code put}, {@code delete} or {@code check}
     * @param key key of the row
     * @param expected revision that the row must have, 0 for no row, -1 for any state
     * @param value new content of a put, otherwise null
     */
    public record WireChange(String op, String key, long expected, String value) {
        private static WireChange of(RowChange c) {
            return switch (c) {
                case RowChange.Put p -> new WireChange(PUT, p.key().value(), p.expectedRevision(), p.value());
                case RowChange.Delete d -> new WireChange(DELETE, d.key().value(), d.expectedRevision(), null);
                case RowChange.Check k -> new WireChange(CHECK, k.key().value(), k.expectedRevision(), null);
            };
        }

        private RowChange toChange() {
            RowKey k = new RowKey(key);
            return switch (op) {
                case PUT -> new RowChange.Put(k, expected, value);
                case DELETE -> new RowChange.Delete(k, expected);
                case CHECK -> new RowChange.Check(k, expected);
                default -> throw new IllegalArgumentException("unknown op " + op);
            };
        }
    }

    /**
     * Converts from changes.
     *
     * @param changes the changes
     * @return their JSON form
     */
    public static WireWrite of(List<RowChange> changes) {
        return new WireWrite(changes.stream().map(WireChange::of).toList());
    }

    /**
     * Converts to changes.
     *
     * @return the changes
     * @throws IllegalArgumentException if an op is not known
     */
    public List<RowChange> toChanges() {
        return changes.stream().map(WireChange::toChange).toList();
    }
}
