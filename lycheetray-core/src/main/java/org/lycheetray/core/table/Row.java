package org.lycheetray.core.table;

/**
 * A row as it was read.
 *
 * @param key key of the row
 * @param revision revision at which the row was last written; the table's revisions only grow, 0 stands for no row
 * @param value content, JSON text
 */
public record Row(RowKey key, long revision, String value) {}
