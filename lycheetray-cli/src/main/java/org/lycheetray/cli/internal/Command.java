package org.lycheetray.cli.internal;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;

/** A command of the tool. Implementations are registered in {@link Commands}. */
public interface Command {
    /**
     * Returns the words on the command line that select this command.
     *
     * @return one word, or two as in {@code key hash}
     */
    List<String> words();

    /**
     * Returns the argument synopsis for the usage text.
     *
     * @return the synopsis, for example {@code FILE --base N}
     */
    String arguments();

    /**
     * Returns a one-line description for the help text.
     *
     * @return the description
     */
    String summary();

    /**
     * Returns the options specific to this command. {@link Commands} adds {@code --platform}, {@code --json} and
     * {@code --help} to them.
     *
     * @return the options
     */
    default Options options() {
        return new Options();
    }

    /**
     * Runs the command.
     *
     * @param context streams, environment and clock of the process
     * @param line parsed options and arguments
     * @return the exit code
     * @throws CommandException if the arguments are invalid or the command cannot continue
     */
    ExitCode run(CommandContext context, CommandLine line) throws CommandException;
}
