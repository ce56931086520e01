package org.lycheetray.daemon.config;

import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.RouteClass;

/** What the request path asks of the configuration; safe for all threads. */
public interface ConfigView {
    /**
     * The configuration in force.
     *
     * @return the configuration, or empty before the first was learnt
     */
    Optional<ActiveConfig> active();

    /**
     * Finds the client account of a key, with every restriction that is already in force applied.
     *
     * @param hash hash of the key that a caller sent
     * @return its account, or empty if the key is not valid
     */
    Optional<ClientAccountName> account(KeyHash hash);

    /**
     * Tells whether the configuration is fresh enough to serve keyed requests of a class.
     *
     * @param routeClass class of the route
     * @return false if such requests must be refused
     */
    boolean serves(RouteClass routeClass);
}
