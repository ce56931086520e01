package org.lycheetray.platform;

import reactor.core.publisher.Mono;

/** The platform's list of the entry VMs that it runs; it lags behind the truth by seconds. */
public interface VmList {
    /**
     * Reads the list.
     *
     * @return the list as the platform knows it, or a {@link PlatformException}
     */
    Mono<VmListing> current();
}
