package org.lycheetray.cli.internal;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;

/** One command of the tool; a new one is added to {@link Commands}. */
public interface Command {
    /**
     * Gives the words that call it.
     *
     * @return one word, or two as in {@code key hash}
     */
    List<String> words();

    /**
     * Describes its arguments.
     *
     * @return for example {@code FILE --base N}
     */
    String arguments();

    /**
     * Says what it does.
     *
     * @return one line
     */
    String summary();

    /**
     * Gives its own options; {@code --json} and {@code --help} come on top.
     *
     * @return the options
     */
    default Options options() {
        return new Options();
    }

    /**
     * Runs it.
     *
     * @param context surroundings
     * @param line parsed arguments
     * @return the exit code
     * @throws CommandException if the arguments are wrong
     */
    ExitCode run(CommandContext context, CommandLine line) throws CommandException;
}
