package org.lycheetray.daemon.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.log.LogFormat;
import org.lycheetray.daemon.log.Logging;

/** Tests that the log lines of a planned stop reach the output, although the logging library has a shutdown hook too. */
class StopLogTest {
    private static final long TIMEOUT_S = 60;
    private static final int EVENTS = 200;

    /** A process whose stop takes longer than the shutdown hook of the logging library. */
    static final class StoppingProcess {
        private StoppingProcess() {}

        public static void main(String[] args) {
            Logging.configure(LogFormat.KEY_VALUE, "info");
            Logging.disableAutomaticShutdown();
            LogEvent.of("started").info();
            ProcessUtil.registerShutdownHook(StoppingProcess::stop);
            System.exit(1);
        }

        private static void stop() {
            try {
                Thread.sleep(300);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            for (int i = 0; i < EVENTS; i++) {
                LogEvent.of("draining").with("number", i).info();
            }
            LogEvent.of("stopped").info();
        }
    }

    @Test
    void eventsOfTheStopAreWritten() throws Exception {
        List<String> lines = outputOf(StoppingProcess.class);

        assertThat(lines).hasSize(EVENTS + 2);
        assertThat(lines.getLast()).contains("event=stopped");
    }

    private static List<String> outputOf(Class<?> main) throws IOException, InterruptedException {
        Process p = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:-UsePerfData",
                        "-cp",
                        System.getProperty("java.class.path"),
                        main.getName())
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        String output = new String(p.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertThat(p.waitFor(TIMEOUT_S, TimeUnit.SECONDS)).isTrue();
        return output.lines().toList();
    }
}
