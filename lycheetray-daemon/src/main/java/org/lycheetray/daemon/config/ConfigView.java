package org.lycheetray.daemon.config;

import java.util.Optional;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.RouteClass;

/** Read access to the configuration for the request path. Implementations are safe for use by all threads. */
public interface ConfigView {
    /**
     * Returns the configuration in force.
     *
     * @return the configuration, or empty until the first one is installed
     */
    Optional<ActiveConfig> active();

    /**
     * Returns the client account that a key belongs to, with every restriction that is already in force applied.
     *
     * @param hash hash of the key that a caller sent
     * @return the account, or empty if the key is not valid
     */
    Optional<ClientAccountName> account(KeyHash hash);

    /**
     * Returns whether the configuration is fresh enough to serve keyed requests of a class.
     *
     * @param routeClass class of the route
     * @return false if such requests must be refused
     */
    boolean isFreshEnoughFor(RouteClass routeClass);
}
