package org.lycheetray.cli.internal;

import java.io.Serial;
import org.lycheetray.cli.ExitCode;

/** A command that cannot go on. */
public final class CommandException extends Exception {
    @Serial
    private static final long serialVersionUID = 1;

    private final ExitCode code;

    private CommandException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * The command line was wrong.
     *
     * @param message what is wrong and what was expected
     * @return the exception
     */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /**
     * Something that the command needs is not there; nothing was changed.
     *
     * @param message what
     * @return the exception
     */
    public static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    /**
     * Gives the exit code that says what happened.
     *
     * @return the code
     */
    public ExitCode code() {
        return code;
    }
}
