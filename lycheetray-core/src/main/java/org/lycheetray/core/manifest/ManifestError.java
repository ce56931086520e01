package org.lycheetray.core.manifest;

/**
 * One thing that is wrong with a manifest.
 *
 * @param path JSON path of the value, for example {@code $.services[2].backendServers[0].slots}
 * @param message what was found and what was expected
 */
public record ManifestError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
