package org.lycheetray.platform;

import reactor.core.publisher.Mono;

/** The platform's list of the entry VMs that it runs; it lags the actual state by seconds. */
public interface VmList {
    /**
     * Reads the current list.
     *
     * @return the list as known to the platform, or a {@link PlatformException}
     */
    Mono<VmListing> current();
}
