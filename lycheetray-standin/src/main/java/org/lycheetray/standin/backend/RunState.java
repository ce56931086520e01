package org.lycheetray.standin.backend;

import com.fasterxml.jackson.annotation.JsonValue;
import java.util.Locale;

/** How a run ended. */
enum RunState {
    /** It has not ended. */
    RUNNING,
    /** It ended and its answer was written. */
    ANSWERED,
    /** The caller went away and the run was stopped. */
    CANCELLED,
    /** The deadline passed and the run was stopped. */
    DEADLINE,
    /** The server crashed under it. */
    CRASHED;

    /**
     * Gives the text in JSON.
     *
     * @return the lower-case name
     */
    @JsonValue
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
