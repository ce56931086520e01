package org.lycheetray.platform.wire;

import java.util.List;

/**
 * Rows in JSON.
 *
 * @param rows rows in key order
 * @param next key after which the next page starts, null if there is none
 */
public record WireRows(List<WireRow> rows, String next) {}
