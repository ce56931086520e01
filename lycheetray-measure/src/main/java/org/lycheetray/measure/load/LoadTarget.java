package org.lycheetray.measure.load;

import java.util.Optional;

/**
 * Where load goes.
 *
 * @param baseUrl {@code http://host:port}
 * @param path path of every request
 * @param key key to show, or empty
 */
public record LoadTarget(String baseUrl, String path, Optional<String> key) {}
