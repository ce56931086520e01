package org.lycheetray.cli;

import java.util.List;
import org.lycheetray.cli.internal.CommandContext;
import org.lycheetray.cli.internal.Commands;

/** Entry point of the {@code lycheetray} command-line tool. */
public final class Lycheetray {
    private Lycheetray() {}

    /**
     * Runs one command and exits the process with the command's exit code.
     *
     * @param args the command words, followed by the command's options and arguments
     */
    public static void main(String[] args) {
        System.exit(run(CommandContext.ofProcess(), List.of(args)).code());
    }

    /** Runs one command; log lines of the libraries go to standard error so that standard output holds results only. */
    static ExitCode run(CommandContext context, List<String> args) {
        System.setProperty("tinylog.level", "warn");
        System.setProperty("tinylog.writer", "console");
        System.setProperty("tinylog.writer.stream", "err");
        ExitCode code = Commands.run(context, args);
        context.out().flush();
        return code;
    }
}
