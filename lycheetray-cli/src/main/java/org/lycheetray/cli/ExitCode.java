package org.lycheetray.cli;

/** What the process's exit code says; documented in docs/operating/configuration.md. */
public enum ExitCode {
    /** Done. */
    OK(0),
    /** Refused or failed; nothing was changed. */
    FAILED(1),
    /** The command line was wrong. */
    USAGE(2),
    /** Another submission was first; nothing was changed. */
    CONFLICT(3),
    /** The platform could not be reached; nothing was changed. */
    UNREACHABLE(4),
    /** An answer was lost: the change may have taken effect or may yet. */
    IN_DOUBT(5),
    /** Submitted, but not accepted within the time given. */
    NOT_YET_ACCEPTED(6),
    /** Done, but a part of the ledger is missing. */
    INCOMPLETE(7);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Gives the number.
     *
     * @return the process's exit code
     */
    public int code() {
        return code;
    }
}
