package org.lycheetray.platform;

import java.io.Serial;

/**
 * A call to the platform that failed.
 *
 * <p>For a write this error means that nothing was written; a write in doubt is reported as {@link
 * org.lycheetray.core.table.WriteResult.Unknown} instead.
 */
public final class PlatformException extends RuntimeException {
    @Serial
    private static final long serialVersionUID = 1;

    private final String step;
    private final String peer;

    /**
     * Creates an error.
     *
     * @param step what was being done, for example {@code table.read}
     * @param peer the platform's address
     * @param problem what went wrong
     * @param cause underlying error, may be null
     */
    public PlatformException(String step, String peer, String problem, Throwable cause) {
        super("step=%s peer=%s: %s".formatted(step, peer, problem), cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Gives the step at which the error arose.
     *
     * @return the step, for example {@code table.read}
     */
    public String step() {
        return step;
    }

    /**
     * Gives the peer at which the error arose.
     *
     * @return the platform's address
     */
    public String peer() {
        return peer;
    }
}
