package org.lycheetray.platform;

import java.io.Serial;

/**
 * Thrown when a call to the platform fails.
 *
 * <p>For a write, this exception means that nothing was written. A write with an unknown result is reported as {@link
 * org.lycheetray.core.table.WriteResult.Unknown} instead.
 */
public final class PlatformException extends RuntimeException {
    @Serial
    private static final long serialVersionUID = 1;

    private final String step;
    private final String peer;

    /**
     * Creates an exception.
     *
     * @param step failed operation, for example {@code table.read}
     * @param peer address of the platform
     * @param problem description of the failure
     * @param cause underlying error, may be null
     */
    public PlatformException(String step, String peer, String problem, Throwable cause) {
        super("step=%s peer=%s: %s".formatted(step, peer, problem), cause);
        this.step = step;
        this.peer = peer;
    }

    /**
     * Returns the operation that failed.
     *
     * @return the operation, for example {@code table.read}
     */
    public String step() {
        return step;
    }

    /**
     * Returns the address of the platform that was called.
     *
     * @return the address
     */
    public String peer() {
        return peer;
    }
}
