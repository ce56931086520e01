package org.lycheetray.core.config;

import org.lycheetray.core.model.Manifest;

/**
 * A version whose manifest is at hand.
 *
 * @param ref the version
 * @param manifest its content
 */
public record LoadedConfig(ConfigRef ref, Manifest manifest) {}
