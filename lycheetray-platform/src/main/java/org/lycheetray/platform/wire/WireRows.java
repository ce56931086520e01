package org.lycheetray.platform.wire;

import java.util.List;

/**
 * JSON form of a page of rows.
 *
 * @param rows rows in ascending key order
 * @param next key after which the next page starts, null on the last page
 */
public record WireRows(List<WireRow> rows, String next) {}
