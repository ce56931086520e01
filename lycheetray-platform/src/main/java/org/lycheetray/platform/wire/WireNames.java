package org.lycheetray.platform.wire;

import java.util.List;

/**
 * Names of objects in JSON.
 *
 * @param names names in order
 * @param next name after which the next page starts, null if there is none
 */
public record WireNames(List<String> names, String next) {}
