package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.VmName;

/** An action that the caller of a {@link ConfigTracker} must carry out. */
public sealed interface ConfigEffect {
    /**
     * Fetches a manifest. The caller reports {@link ConfigEvent.ManifestLoaded} or {@link ConfigEvent.ManifestFailed}.
     *
     * @param ref the version
     * @param peer a VM that has loaded the manifest, empty to fetch from the object store, which also has it
     */
    record Fetch(ConfigRef ref, Optional<VmName> peer) implements ConfigEffect {}

    /**
     * Puts a configuration into effect on the local VM.
     *
     * @param config the configuration; never older than one installed before
     */
    record Install(EffectiveConfig config) implements ConfigEffect {}
}
