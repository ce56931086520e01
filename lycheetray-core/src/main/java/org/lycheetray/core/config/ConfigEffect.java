package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.VmName;

/** What a {@link ConfigKeeper} wants done. */
public sealed interface ConfigEffect {
    /**
     * Fetch a manifest and report {@link ConfigEvent.ManifestLoaded} or {@link ConfigEvent.ManifestFailed}.
     *
     * @param ref the version
     * @param peer a VM that has it; the object store has it too
     */
    record Fetch(ConfigRef ref, Optional<VmName> peer) implements ConfigEffect {}

    /**
     * Act on this configuration from now on.
     *
     * @param config never older than any installed before
     */
    record Install(EffectiveConfig config) implements ConfigEffect {}
}
