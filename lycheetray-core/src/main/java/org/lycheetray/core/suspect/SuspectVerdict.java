package org.lycheetray.core.suspect;

import java.time.Duration;

/** Decides how often a request may be sent, given the crashes at which requests like it were in flight. */
public sealed interface SuspectVerdict {
    /** The request may be sent and repeated as its route permits. */
    record Unsuspected() implements SuspectVerdict {}

    /**
     * The request may be sent to one server and must not be repeated.
     *
     * @param crashes number of crashes at which it was in flight
     */
    record NoRepeat(int crashes) implements SuspectVerdict {}

    /**
     * The quarantine is over: the request may be sent to one server, and requests like it are refused meanwhile.
     *
     * @param crashes number of crashes at which it was in flight
     */
    record Trial(int crashes) implements SuspectVerdict {}

    /**
     * The request must not be sent.
     *
     * @param crashes number of crashes at which it was in flight
     * @param remaining time until it may be tried again
     */
    record Quarantined(int crashes, Duration remaining) implements SuspectVerdict {}
}
