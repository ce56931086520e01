package org.lycheetray.core.placement;

import java.time.Duration;

/** What a backend server says in an answer about the requests that it still accepts. */
public sealed interface AvailabilityStatement {
    /** The server leaves; it accepts no further requests until it starts again. */
    record Leaving() implements AvailabilityStatement {}

    /**
     * The server refuses requests of this VM for some time.
     *
     * @param duration time from the answer until the server accepts requests again, above 0
     */
    record Paused(Duration duration) implements AvailabilityStatement {}
}
