package org.lycheetray.platform.wire;

import java.util.List;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;

/**
 * JSON form of a conditional write.
 *
 * @param changes the changes, applied atomically
 */
public record WireWrite(List<WireChange> changes) {
    /** Value of {@code op} for {@link RowChange.Put}. */
    private static final String PUT = "put";

    /** Value of {@code op} for {@link RowChange.Delete}. */
    private static final String DELETE = "delete";

    /** Value of {@code op} for {@link RowChange.Check}. */
    private static final String CHECK = "check";

    /**
     * JSON form of one change.
     *
     * @param op {@code put}, {@code delete} or {@code check}
     * @param key key of the row
     * @param expected required revision of the row, 0 if the row must not exist, -1 for no condition
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
     * Returns the JSON form of a write.
     *
     * @param changes the changes
     * @return the JSON form
     */
    public static WireWrite of(List<RowChange> changes) {
        return new WireWrite(changes.stream().map(WireChange::of).toList());
    }

    /**
     * Returns the changes described by this object.
     *
     * @return the changes
     * @throws IllegalArgumentException if an operation is unknown
     */
    public List<RowChange> toChanges() {
        return changes.stream().map(WireChange::toChange).toList();
    }
}
