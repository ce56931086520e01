package org.lycheetray.core.table;

/** One part of a conditional write; all parts take effect together or none does. */
public sealed interface RowChange {
    /** Expected revision of a row that must not exist. */
    long ABSENT = 0;

    /** Expected revision that matches any state of the row. */
    long ANY = -1;

    /**
     * The row that is checked and changed.
     *
     * @return its key
     */
    RowKey key();

    /**
     * The revision that the row must have.
     *
     * @return a revision, {@link #ABSENT} or {@link #ANY}
     */
    long expectedRevision();

    /**
     * Writes a row.
     *
     * @param key key of the row
     * @param expectedRevision condition
     * @param value new content
     */
    record Put(RowKey key, long expectedRevision, String value) implements RowChange {}

    /**
     * Removes a row.
     *
     * @param key key of the row
     * @param expectedRevision condition
     */
    record Delete(RowKey key, long expectedRevision) implements RowChange {}

    /**
     * Checks a row without changing it.
     *
     * @param key key of the row
     * @param expectedRevision condition
     */
    record Check(RowKey key, long expectedRevision) implements RowChange {}
}
