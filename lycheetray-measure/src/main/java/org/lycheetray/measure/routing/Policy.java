package org.lycheetray.measure.routing;

/** A way to choose where a request runs. */
interface Policy {
    /**
     * Routes one request; the policy finishes or refuses it later.
     *
     * @param request the request as it enters
     */
    void arrive(Call request);

    /** Takes note that regions were lost, drained or cut apart, or came back. */
    default void worldChanged() {}
}
