package org.lycheetray.core.manifest.internal;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.manifest.ManifestError;

/** Collects the errors in a manifest, so that its author sees all of them together. */
public final class ManifestErrorCollector {
    private static final int MAX_ERRORS = 1_000;

    private final List<ManifestError> errors = new ArrayList<>();
    private int droppedErrors;

    /**
     * Adds an error. Errors after the first {@value #MAX_ERRORS} are only counted.
     *
     * @param path JSON path of the value
     * @param message description of the error: what was expected and what was found
     */
    public void report(String path, String message) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new ManifestError(path, message));
        } else {
            droppedErrors++;
        }
    }

    /**
     * Returns the errors in the order in which they were found.
     *
     * @return the errors, followed by the number of those not listed, if any; empty if the manifest is valid
     */
    public List<ManifestError> errors() {
        if (droppedErrors == 0) {
            return List.copyOf(errors);
        }
        List<ManifestError> all = new ArrayList<>(errors);
        all.add(new ManifestError("$", droppedErrors + " more errors are not listed"));
        return List.copyOf(all);
    }
}
