package org.lycheetray.cli.internal;

import java.io.Serial;
import org.lycheetray.cli.ExitCode;

/** Thrown when a command cannot continue; carries the message for the user and the exit code. */
public final class CommandException extends Exception {
    @Serial
    private static final long serialVersionUID = 1;

    private final ExitCode code;

    private CommandException(ExitCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception for an invalid command line.
     *
     * @param message the invalid value and what is expected
     * @return the exception
     */
    public static CommandException usage(String message) {
        return new CommandException(ExitCode.USAGE, message);
    }

    /**
     * Creates an exception for input or data that is missing or invalid; the command has changed nothing.
     *
     * @param message what failed and why
     * @return the exception
     */
    public static CommandException failed(String message) {
        return new CommandException(ExitCode.FAILED, message);
    }

    /**
     * Returns the exit code for this failure.
     *
     * @return the exit code
     */
    public ExitCode code() {
        return code;
    }
}
