package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests that a SIGHUP while a process starts neither ends it nor is forgotten. */
class EarlySighupTest {
    private static final int EXIT_USAGE = 2;
    private static final long TIMEOUT_S = 60;

    /** Time in which a process that does not handle the signal ends. */
    private static final long SIGNAL_EFFECT_MS = 500;

    @TempDir
    private Path directory;

    /** A VM with the settings file given as argument. */
    static final class StartingProcess {
        private StartingProcess() {}

        public static void main(String[] args) throws InterruptedException {
            TestDialect dialect = new TestDialect();
            EdgeMain.run(
                    Path.of(args[0]),
                    new String[0],
                    new EdgeAdapter(dialect, dialect, dialect, (t, a) -> new InMemoryFleetStore()));
        }
    }

    /** The settings are a pipe, which holds the process back while it reads them. */
    @Test
    @Timeout(value = TIMEOUT_S, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
    void signalWhileTheSettingsAreReadDoesNotEndTheProcess() throws Exception {
        Path settings = directory.resolve("settings.properties");
        assertThat(run("mkfifo", settings.toString())).isZero();
        Process vm = start(settings);
        try (OutputStream out = Files.newOutputStream(settings)) {
            assertThat(run("kill", "-HUP", Long.toString(vm.pid()))).isZero();
            boolean _ = vm.waitFor(SIGNAL_EFFECT_MS, TimeUnit.MILLISECONDS);
            out.write("no setting".getBytes(StandardCharsets.US_ASCII));
        } finally {
            vm.waitFor();
        }

        assertThat(vm.exitValue()).isEqualTo(EXIT_USAGE);
    }

    /** Guards against settings that changed while a process started, and are not read again. */
    @Test
    void signalBeforeTheActionIsKnownRunsItLater() throws Exception {
        SighupHandler handler = SighupHandler.install();
        List<String> runs = new ArrayList<>();
        handler.handle();

        handler.setAction(() -> runs.add("early"));
        assertThat(runs).containsExactly("early");
        handler.handle();

        assertThat(runs).hasSize(2);
    }

    private static int run(String... command) throws IOException, InterruptedException {
        return new ProcessBuilder(command).start().waitFor();
    }

    private static Process start(Path settings) throws IOException {
        return new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        StartingProcess.class.getName(),
                        settings.toString())
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
    }
}
