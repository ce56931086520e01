package org.lycheetray.core.model;

import java.util.Locale;

/** How the requests of a route are handled when an attempt fails. */
public enum RouteClass {
    /** Requests are idempotent and may be retried on another backend server. */
    READ,
    /** Requests may wait for a slot; each is answered or refused with its actual outcome, never dropped silently. */
    QUEUE,
    /** Requests run at most once for each idempotency key. */
    ONCE;

    /**
     * Returns the name that manifests, metrics and reports use.
     *
     * @return the lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
