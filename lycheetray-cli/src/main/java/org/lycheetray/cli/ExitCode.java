package org.lycheetray.cli;

/** Exit codes of the {@code lycheetray} process, documented in docs/operating/configuration.md. */
public enum ExitCode {
    /** The command succeeded. */
    OK(0),
    /** The command was rejected or failed; nothing was changed. */
    FAILED(1),
    /** The command line is invalid. */
    USAGE(2),
    /**
     * The submission conflicts with the current configuration: its base is not the newest version, nothing has been
     * submitted yet, or the submitted version was superseded before it was accepted.
     */
    CONFLICT(3),
    /** The platform could not be reached; nothing was changed. */
    UNREACHABLE(4),
    /** The platform's response was lost: the change may already be applied, or may still be applied later. */
    IN_DOUBT(5),
    /** The manifest was submitted but not accepted within the timeout. */
    NOT_YET_ACCEPTED(6),
    /** The report was printed, but a part of the ledger is missing or unreadable. */
    INCOMPLETE(7);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the numeric exit code.
     *
     * @return the exit code of the process
     */
    public int code() {
        return code;
    }
}
