package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.UUID;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.Submission;
import org.lycheetray.core.config.SubmitResult;
import org.lycheetray.core.manifest.ManifestError;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.config.ConfigClient;

/** Submits a manifest and waits until it is accepted. */
final class SubmitCommand implements Command {
    private static final String BASE = "base";
    private static final String OPERATOR = "operator";
    private static final String TIMEOUT = "timeout";
    private static final String NO_WAIT = "no-wait";
    private static final String DEFAULT_TIMEOUT_SECONDS = "30";

    @Override
    public List<String> words() {
        return List.of("submit");
    }

    @Override
    public String arguments() {
        return "FILE --base N";
    }

    @Override
    public String summary() {
        return "put a manifest in force; N is the version that it was made from, 0 for the first";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, BASE, true, "newest version that the manifest takes into account")
                .addOption(null, OPERATOR, true, "name shown to others, else the login name")
                .addOption(null, TIMEOUT, true, "seconds to wait for acceptance, " + DEFAULT_TIMEOUT_SECONDS)
                .addOption(null, NO_WAIT, false, "do not wait for acceptance");
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        long base = number(line, BASE, null);
        Duration timeout = Duration.ofSeconds(number(line, TIMEOUT, DEFAULT_TIMEOUT_SECONDS));
        Either<List<ManifestError>, Manifest> manifest = ManifestFile.read(context, line);
        if (manifest.isLeft()) {
            ManifestFile.print(context, line, manifest.getLeft());
            return ExitCode.FAILED;
        }
        Submission submission = new Submission(
                UUID.randomUUID().toString(),
                operator(context, line),
                context.clock().instant());
        try (PlatformClient platform = context.platform(line)) {
            ConfigClient client = new ConfigClient(platform.tables(), platform.objects());
            SubmitResult result = client.submit(manifest.get(), new ConfigVersion(base), submission)
                    .block();
            return report(context, line, result, new AcceptanceWait(context, client, timeout));
        }
    }

    private static ExitCode report(CommandContext context, CommandLine line, SubmitResult result, AcceptanceWait wait) {
        return switch (result) {
            case SubmitResult.Submitted s -> submitted(context, line, s.ref(), wait);
            case SubmitResult.Conflict c -> conflict(context, line, c.winner());
            case SubmitResult.NoSuchBase _ ->
                failed(context, line, ExitCode.CONFLICT, "there is no configuration yet: use --base 0");
            case SubmitResult.Unreachable u -> failed(context, line, ExitCode.UNREACHABLE, u.cause());
            case SubmitResult.InDoubt d ->
                failed(
                        context,
                        line,
                        ExitCode.IN_DOUBT,
                        d.cause() + "; see lycheetray status, and submit again with the same base if it is missing");
        };
    }

    private static ExitCode submitted(CommandContext context, CommandLine line, ConfigRef ref, AcceptanceWait wait) {
        AcceptanceWait.Result result =
                line.hasOption(NO_WAIT) ? AcceptanceWait.Result.PENDING : wait.await(ref.version());
        if (line.hasOption(Commands.JSON)) {
            context.printJson(
                    outcome(result.label()).put("version", ref.version().number()));
        } else {
            context.out().println("version " + ref.version() + " " + result.label());
        }
        return switch (result) {
            case ACCEPTED -> ExitCode.OK;
            case PENDING -> line.hasOption(NO_WAIT) ? ExitCode.OK : ExitCode.NOT_YET_ACCEPTED;
            case SUPERSEDED -> ExitCode.CONFLICT;
        };
    }

    private static ExitCode conflict(CommandContext context, CommandLine line, ConfigHead winner) {
        String state = winner.isPending() ? "pending" : "accepted";
        if (line.hasOption(Commands.JSON)) {
            ObjectNode json = outcome("conflict");
            json.putObject("winner")
                    .put("version", winner.version().number())
                    .put("state", state)
                    .put("operator", winner.submission().operator())
                    .put("submission", winner.submission().id())
                    .put("at", winner.submission().at().toString());
            context.printJson(json);
        } else {
            context.err()
                    .println("conflict: version " + winner.version() + " (" + state + ") is " + winner.submission());
        }
        return ExitCode.CONFLICT;
    }

    private static ExitCode failed(CommandContext context, CommandLine line, ExitCode code, String cause) {
        if (line.hasOption(Commands.JSON)) {
            context.printJson(outcome(code.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .put("cause", cause));
        } else {
            context.err().println("submit: " + cause);
        }
        return code;
    }

    private static ObjectNode outcome(String label) {
        return JsonNodeFactory.instance.objectNode().put("outcome", label);
    }

    private static String operator(CommandContext context, CommandLine line) {
        return line.getOptionValue(OPERATOR, context.environment().getOrDefault("USER", "unknown"));
    }

    private static long number(CommandLine line, String option, String standard) throws CommandException {
        String text = line.getOptionValue(option, standard);
        if (text == null || !text.matches("\\d{1,15}")) {
            throw CommandException.usage(
                    "--" + option + " is a whole number" + (text == null ? "" : " but was " + text));
        }
        return Long.parseLong(text);
    }
}
