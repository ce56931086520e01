package org.lycheetray.core.manifest;

/**
 * An error in a manifest.
 *
 * @param path JSON path of the value, for example {@code $.services[2].backendServers[0].slots}
 * @param message description of the error: what was expected and what was found
 */
public record ManifestError(String path, String message) {
    @Override
    public String toString() {
        return path + ": " + message;
    }
}
