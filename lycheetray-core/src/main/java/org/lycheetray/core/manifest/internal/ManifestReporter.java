package org.lycheetray.core.manifest.internal;

import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.manifest.ManifestError;

/** Gathers everything that is wrong with a manifest, so that its author sees it all at once. */
public final class ManifestReporter {
    private static final int MAX_ERRORS = 1_000;

    private final List<ManifestError> errors = new ArrayList<>();
    private int dropped;

    /**
     * Adds an error; beyond the first {@value #MAX_ERRORS} only their number is kept.
     *
     * @param path JSON path
     * @param message what was found and what was expected
     */
    public void report(String path, String message) {
        if (errors.size() < MAX_ERRORS) {
            errors.add(new ManifestError(path, message));
        } else {
            dropped++;
        }
    }

    /**
     * Gives all errors in the order in which they were found.
     *
     * @return the errors, empty if the manifest is good
     */
    public List<ManifestError> errors() {
        if (dropped == 0) {
            return List.copyOf(errors);
        }
        List<ManifestError> all = new ArrayList<>(errors);
        all.add(new ManifestError("$", dropped + " more errors are not listed"));
        return List.copyOf(all);
    }
}
