package org.lycheetray.core.config;

import org.lycheetray.core.model.Manifest;

/**
 * A configuration version with its manifest.
 *
 * @param ref the version
 * @param manifest the manifest of that version
 */
public record LoadedConfig(ConfigRef ref, Manifest manifest) {}
