package org.lycheetray.platform.memory;

import java.time.Instant;
import java.util.List;
import org.lycheetray.platform.VmList;
import org.lycheetray.platform.VmListing;
import reactor.core.publisher.Mono;

/** In-memory VM list that returns the listing set last. */
public final class MemoryVmList implements VmList {
    private final FaultInjector faults;
    private volatile VmListing listing = new VmListing(Instant.EPOCH, List.of());

    /** Creates an empty list without faults. */
    public MemoryVmList() {
        this(new FaultInjector(0));
    }

    /**
     * Creates an empty list.
     *
     * @param faults faults applied to every call
     */
    public MemoryVmList(FaultInjector faults) {
        this.faults = faults;
    }

    /**
     * Replaces the listing.
     *
     * @param listing the new listing
     */
    public void setListing(VmListing listing) {
        this.listing = listing;
    }

    @Override
    public Mono<VmListing> current() {
        return faults.apply("vms.list", Mono.fromSupplier(() -> listing));
    }
}
