package org.lycheetray.standin.backend;

/**
 * A fault of backend servers in JSON; a field that is left out stays as it is.
 *
 * @param server name of the server, {@code *} for all, null for the one that is asked
 * @param delayMs milliseconds added to every run
 * @param shed true to refuse every request as not run
 * @param crashOnBody a request whose body contains this text crashes the server; empty for none
 * @param silent true to make present connections silent for good and new ones silent until it is false again
 * @param draining true to announce that the server leaves; requests are still run
 * @param loadLagMs milliseconds by which the load report lags
 * @param loadFactor factor by which the load report misleads
 * @param healthLies true to report good health whatever happens
 */
record BackendFault(
        String server,
        Long delayMs,
        Boolean shed,
        String crashOnBody,
        Boolean silent,
        Boolean draining,
        Long loadLagMs,
        Double loadFactor,
        Boolean healthLies) {
    /** Checks the ranges. */
    BackendFault {
        if ((delayMs != null && delayMs < 0) || (loadLagMs != null && loadLagMs < 0)) {
            throw new IllegalArgumentException("delayMs and loadLagMs must not be negative");
        }
    }

    /** A server without faults. */
    static BackendFault none() {
        return new BackendFault(null, 0L, false, "", false, false, 0L, 1.0, false);
    }

    /** Gives this state with the fields of a change that are present. */
    BackendFault changedBy(BackendFault f) {
        return new BackendFault(
                null,
                pick(f.delayMs, delayMs),
                pick(f.shed, shed),
                pick(f.crashOnBody, crashOnBody),
                pick(f.silent, silent),
                pick(f.draining, draining),
                pick(f.loadLagMs, loadLagMs),
                pick(f.loadFactor, loadFactor),
                pick(f.healthLies, healthLies));
    }

    boolean crashesOn(String body) {
        return !crashOnBody.isEmpty() && body.contains(crashOnBody);
    }

    private static <T> T pick(T changed, T present) {
        return changed == null ? present : changed;
    }
}
