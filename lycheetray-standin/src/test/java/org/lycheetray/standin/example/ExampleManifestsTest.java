package org.lycheetray.standin.example;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.model.Manifest;

class ExampleManifestsTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @ValueSource(strings = {"olwyn", "gatolote"})
    void committedFileIsWhatGeneratorMakes(String name) throws IOException {
        byte[] file = Files.readAllBytes(EXAMPLES.resolve(name + ".json"));
        assertThat(ManifestReader.read(file).get()).isEqualTo(generated(name));
    }

    private static Manifest generated(String name) {
        return name.equals("olwyn") ? ExampleManifests.olwyn() : ExampleManifests.gatolote();
    }
}
