package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests that large bodies don't exhaust the heap that a VM is deployed with, and that small requests are answered. */
class SmallHeapTest {
    private static final long TIMEOUT_S = 120;

    @TempDir
    private Path folder;

    /** Guards against a VM that ends because one server or caller makes it keep more than its heap. */
    @ParameterizedTest
    @EnumSource(SmallHeapVm.Scenario.class)
    void smallRequestsAreAnsweredBesideLargeBodies(SmallHeapVm.Scenario scenario) throws Exception {
        String output = run(scenario);

        assertThat(output).doesNotContain("OutOfMemory", "Java heap space", "direct memory", "unexpected");
        assertThat(output).contains("answered " + SmallHeapVm.SMALL_REQUESTS + "\n", "stopped\n");
    }

    private String run(SmallHeapVm.Scenario scenario) throws IOException, InterruptedException {
        Path log = folder.resolve("log");
        Process vm = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx128m",
                        "-XX:MaxDirectMemorySize=64m",
                        "-XX:+UseSerialGC",
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        SmallHeapVm.class.getName(),
                        scenario.name())
                .directory(new File(System.getProperty("user.dir")))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        try {
            assertThat(vm.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        } finally {
            vm.destroyForcibly();
        }
        return Files.readString(log, StandardCharsets.UTF_8);
    }
}
