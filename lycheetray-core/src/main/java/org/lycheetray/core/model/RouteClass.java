package org.lycheetray.core.model;

import java.util.Locale;

/** What may be done with a request when its first attempt fails. */
public enum RouteClass {
    /** Idempotent: may be retried on another backend server. */
    READ,
    /** May wait for a slot; is answered or truthfully refused, never dropped silently. */
    QUEUE,
    /** Runs at most once for an idempotency key. */
    ONCE;

    /**
     * Gives the name that the manifest, metrics and reports use.
     *
     * @return the lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
