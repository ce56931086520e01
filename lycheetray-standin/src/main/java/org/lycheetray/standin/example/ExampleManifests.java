package org.lycheetray.standin.example;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.lycheetray.core.manifest.ManifestWriter;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;

/** Generates the example manifests of both deployments at their sizes of today. */
public final class ExampleManifests {
    private static final String KEY_PREFIX = "demo-key-";

    private ExampleManifests() {}

    /**
     * Gives Olwyn's example.
     *
     * @return eight entry VMs over six data centres
     */
    public static Manifest olwyn() {
        return new ExampleBuilder(ExampleDeployment.olwyn()).build();
    }

    /**
     * Gives Gatolote's example.
     *
     * @return eleven entry VMs over six data centres
     */
    public static Manifest gatolote() {
        return new ExampleBuilder(ExampleDeployment.gatolote()).build();
    }

    /**
     * Gives the key of an example's client account. Such keys are for trials only.
     *
     * @param account name of the client account
     * @return its key
     */
    public static String keyOf(String account) {
        return KEY_PREFIX + account;
    }

    /**
     * Writes {@code olwyn.json} and {@code gatolote.json}.
     *
     * @param args the directory to write to
     * @throws IOException if a file cannot be written
     */
    public static void main(String[] args) throws IOException {
        Path directory = Path.of(args[0]);
        write(directory, ExampleDeployment.olwyn());
        write(directory, ExampleDeployment.gatolote());
    }

    static KeyHash keyHash(String account) {
        return KeyHash.of(keyOf(account));
    }

    private static void write(Path directory, ExampleDeployment deployment) throws IOException {
        byte[] json = ManifestWriter.writePretty(new ExampleBuilder(deployment).build());
        Files.write(directory.resolve(deployment.name() + ".json"), json);
    }
}
