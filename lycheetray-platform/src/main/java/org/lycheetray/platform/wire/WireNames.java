package org.lycheetray.platform.wire;

import java.util.List;

/**
 * JSON form of a page of object names.
 *
 * @param names names in ascending order
 * @param next name after which the next page starts, null on the last page
 */
public record WireNames(List<String> names, String next) {}
