package org.lycheetray.core.table;

/**
 * A row of the table service, as it was read.
 *
 * @param key key of the row
 * @param revision revision at which the row was last written; revisions of a table only increase, and 0 means that the
 *     row does not exist
 * @param value content, JSON text
 */
public record Row(RowKey key, long revision, String value) {}
