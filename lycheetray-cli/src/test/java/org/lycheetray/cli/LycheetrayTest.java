package org.lycheetray.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lycheetray.cli.internal.CommandContext;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.time.Clock;

class LycheetrayTest {
    private static final String EXAMPLE = "../examples/olwyn.json";

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @Test
    void validatesExample() {
        assertThat(run("", "validate", EXAMPLE)).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("valid: 8 entry VMs");
    }

    @Test
    void validatePrintsAllErrorsAsJson() {
        assertThat(run("{\"format\":2}", "validate", "-", "--json")).isEqualTo(ExitCode.FAILED);
        assertThat(out.toString(StandardCharsets.UTF_8)).contains("$.format", "$.regions");
    }

    @Test
    void hashesKeyFromStandardInput() {
        assertThat(run("demo-key-members\n", "key", "hash")).isEqualTo(ExitCode.OK);
        assertThat(out.toString(StandardCharsets.UTF_8).strip())
                .isEqualTo(KeyHash.of("demo-key-members").hex());
    }

    @Test
    void unknownCommandIsUsageError() {
        assertThat(run("", "abolish")).isEqualTo(ExitCode.USAGE);
        assertThat(err.toString(StandardCharsets.UTF_8)).contains("submit FILE --base N");
    }

    @Test
    void submitNeedsBase() {
        assertThat(run("", "submit", EXAMPLE, "--platform", "http://127.0.0.1:1"))
                .isEqualTo(ExitCode.USAGE);
    }

    @Test
    void missingFileFails() {
        assertThat(run("", "validate", "no-such-file")).isEqualTo(ExitCode.FAILED);
    }

    @Test
    void unreachablePlatformIsReported() {
        assertThat(run("", "submit", EXAMPLE, "--base", "0", "--platform", "http://127.0.0.1:1"))
                .isEqualTo(ExitCode.UNREACHABLE);
        assertThat(run("", "status", "--platform", "http://127.0.0.1:1")).isEqualTo(ExitCode.UNREACHABLE);
    }

    private ExitCode run(String input, String... args) {
        CommandContext context = new CommandContext(
                new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of(),
                Clock.system());
        return Lycheetray.run(context, List.of(args));
    }
}
