package org.lycheetray.core.table;

/** One change of a conditional write; all changes of a write take effect together or none does. */
public sealed interface RowChange {
    /** Expected revision for a row that must not exist. */
    long ABSENT = 0;

    /** Expected revision that matches any state of the row, existing or not. */
    long ANY = -1;

    /**
     * Returns the key of the row that is checked and changed.
     *
     * @return the row key
     */
    RowKey key();

    /**
     * Returns the revision that the row must have for the write to succeed.
     *
     * @return a revision, {@link #ABSENT} or {@link #ANY}
     */
    long expectedRevision();

    /**
     * Writes a row.
     *
     * @param key key of the row
     * @param expectedRevision revision that the row must have
     * @param value new content
     */
    record Put(RowKey key, long expectedRevision, String value) implements RowChange {}

    /**
     * Removes a row.
     *
     * @param key key of the row
     * @param expectedRevision revision that the row must have
     */
    record Delete(RowKey key, long expectedRevision) implements RowChange {}

    /**
     * Checks a row without changing it.
     *
     * @param key key of the row
     * @param expectedRevision revision that the row must have
     */
    record Check(RowKey key, long expectedRevision) implements RowChange {}
}
