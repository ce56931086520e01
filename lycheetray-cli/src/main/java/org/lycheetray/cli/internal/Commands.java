package org.lycheetray.cli.internal;

import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.platform.PlatformException;

/** Registry of all commands: selects the command named on the command line, parses its options and runs it. */
public final class Commands {
    /** Name of the option for JSON output. */
    public static final String JSON = "json";

    private static final String HELP = "help";
    private static final List<Command> COMMANDS = List.of(
            new ValidateCommand(),
            new SubmitCommand(),
            new StatusCommand(),
            new DrainStatusCommand(),
            new AccountsCommand(),
            new ExplainCommand(),
            new KeyHashCommand());

    private Commands() {}

    /**
     * Runs the command selected by the leading arguments, or prints the usage text if there is no such command.
     *
     * @param context streams, environment and clock of the process
     * @param args the command words, followed by the command's options and arguments
     * @return the exit code
     */
    public static ExitCode run(CommandContext context, List<String> args) {
        Optional<Command> command = COMMANDS.stream()
                .filter(c -> args.size() >= c.words().size()
                        && args.subList(0, c.words().size()).equals(c.words()))
                .findFirst();
        if (command.isPresent()) {
            return run(
                    context, command.get(), args.subList(command.get().words().size(), args.size()));
        }
        boolean help = !args.isEmpty() && List.of("help", "--help", "-h").contains(args.getFirst());
        printUsage(context, help);
        return help ? ExitCode.OK : ExitCode.USAGE;
    }

    private static ExitCode run(CommandContext context, Command command, List<String> args) {
        Options options = command.options()
                .addOption(
                        null,
                        CommandContext.PLATFORM,
                        true,
                        "URL of the platform; default: environment variable LYCHEETRAY_PLATFORM")
                .addOption(null, JSON, false, "print the result as JSON")
                .addOption(null, HELP, false, "print this help");
        try {
            CommandLine line = new DefaultParser(false).parse(options, args.toArray(String[]::new));
            if (line.hasOption(HELP)) {
                printHelp(context, command, options);
                return ExitCode.OK;
            }
            return command.run(context, line);
        } catch (ParseException e) {
            return fail(context, command, ExitCode.USAGE, e.getMessage());
        } catch (CommandException e) {
            return fail(context, command, e.code(), e.getMessage());
        } catch (PlatformException e) {
            context.err().println(name(command) + ": platform unreachable: " + e.getMessage());
            return ExitCode.UNREACHABLE;
        }
    }

    private static ExitCode fail(CommandContext context, Command command, ExitCode code, String message) {
        context.err().println(name(command) + ": " + message);
        if (code == ExitCode.USAGE) {
            context.err().println("usage: " + usage(command));
        }
        return code;
    }

    private static void printHelp(CommandContext context, Command command, Options options) {
        context.out().println(command.summary());
        context.out().println("usage: " + usage(command));
        options.getOptions()
                .forEach(o -> context.out()
                        .printf("  --%-24s %s%n", o.getLongOpt() + (o.hasArg() ? " VALUE" : ""), o.getDescription()));
    }

    private static void printUsage(CommandContext context, boolean requested) {
        var stream = requested ? context.out() : context.err();
        stream.println("usage: lycheetray COMMAND [ARGUMENT]... [--platform URL] [--json] [--help]");
        COMMANDS.forEach(c ->
                stream.printf("  %-44s %s%n", String.join(" ", c.words()) + " " + c.arguments(), c.summary()));
    }

    private static String usage(Command command) {
        return "lycheetray " + String.join(" ", command.words()) + " " + command.arguments();
    }

    private static String name(Command command) {
        return "lycheetray " + String.join(" ", command.words());
    }
}
