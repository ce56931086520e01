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

/** Submits a manifest as a new configuration version and waits until it is accepted. */
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
        return "submit a manifest as a new version; N is the version that it is based on, 0 for the first";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(null, BASE, true, "version that the manifest is based on; it must be the newest")
                .addOption(null, OPERATOR, true, "operator name recorded with the version; default: login name")
                .addOption(null, TIMEOUT, true, "seconds to wait for acceptance; default: " + DEFAULT_TIMEOUT_SECONDS)
                .addOption(null, NO_WAIT, false, "do not wait for acceptance");
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        long base = parseNumber(line, BASE, null);
        Duration timeout = Duration.ofSeconds(parseNumber(line, TIMEOUT, DEFAULT_TIMEOUT_SECONDS));
        Either<List<ManifestError>, Manifest> manifest = ManifestFile.read(context, line);
        if (manifest.isLeft()) {
            ManifestFile.printErrors(context, line, manifest.getLeft());
            return ExitCode.FAILED;
        }
        Submission submission = new Submission(
                UUID.randomUUID().toString(),
                operator(context, line),
                context.clock().instant());
        try (PlatformClient platform = context.createPlatformClient(line)) {
            ConfigClient client = new ConfigClient(platform.tables(), platform.objects());
            SubmitResult result = client.submit(manifest.get(), new ConfigVersion(base), submission)
                    .block();
            return reportResult(context, line, result, new AcceptancePoller(context, client, timeout));
        }
    }

    private static ExitCode reportResult(
            CommandContext context, CommandLine line, SubmitResult result, AcceptancePoller poller) {
        return switch (result) {
            case SubmitResult.Submitted s -> reportSubmitted(context, line, s.ref(), poller);
            case SubmitResult.Conflict c -> reportConflict(context, line, c.winner());
            case SubmitResult.NoSuchBase _ ->
                reportFailure(
                        context, line, ExitCode.CONFLICT, "no configuration has been submitted yet: use --base 0");
            case SubmitResult.Unreachable u -> reportFailure(context, line, ExitCode.UNREACHABLE, u.cause());
            case SubmitResult.InDoubt d ->
                reportFailure(
                        context,
                        line,
                        ExitCode.IN_DOUBT,
                        d.cause() + "; see lycheetray status; if it is missing, submit again with the same base");
        };
    }

    private static ExitCode reportSubmitted(
            CommandContext context, CommandLine line, ConfigRef ref, AcceptancePoller poller) {
        AcceptancePoller.Result result =
                line.hasOption(NO_WAIT) ? AcceptancePoller.Result.PENDING : poller.await(ref.version());
        if (line.hasOption(Commands.JSON)) {
            context.printJson(
                    outcomeJson(result.label()).put("version", ref.version().number()));
        } else {
            context.out().println("version " + ref.version() + " " + result.label());
        }
        return switch (result) {
            case ACCEPTED -> ExitCode.OK;
            case PENDING -> line.hasOption(NO_WAIT) ? ExitCode.OK : ExitCode.NOT_YET_ACCEPTED;
            case SUPERSEDED -> ExitCode.CONFLICT;
        };
    }

    private static ExitCode reportConflict(CommandContext context, CommandLine line, ConfigHead winner) {
        String state = winner.isPending() ? "pending" : "accepted";
        if (line.hasOption(Commands.JSON)) {
            ObjectNode json = outcomeJson("conflict");
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

    private static ExitCode reportFailure(CommandContext context, CommandLine line, ExitCode code, String cause) {
        if (line.hasOption(Commands.JSON)) {
            context.printJson(outcomeJson(code.name().toLowerCase(Locale.ROOT).replace('_', '-'))
                    .put("cause", cause));
        } else {
            context.err().println("submit: " + cause);
        }
        return code;
    }

    private static ObjectNode outcomeJson(String label) {
        return JsonNodeFactory.instance.objectNode().put("outcome", label);
    }

    private static String operator(CommandContext context, CommandLine line) {
        return line.getOptionValue(OPERATOR, context.environment().getOrDefault("USER", "unknown"));
    }

    private static long parseNumber(CommandLine line, String option, String defaultValue) throws CommandException {
        String text = line.getOptionValue(option, defaultValue);
        if (text == null || !text.matches("\\d{1,15}")) {
            throw CommandException.usage("--" + option + " must be a whole number of at most 15 digits"
                    + (text == null ? "" : " but was " + text));
        }
        return Long.parseLong(text);
    }
}
