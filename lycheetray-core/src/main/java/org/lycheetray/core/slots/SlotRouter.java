package org.lycheetray.core.slots;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.regions.ShiftLimiter;

/**
 * Selects the owners from which one VM requests slots for a service.
 *
 * <p>The owner in the local data centre gets the first slot request. If it has no idle slot, the request is queued with
 * all owners of the region at once and runs where a slot is granted first; the other slot requests are cancelled. The
 * region's slots thus act as one pool without a shared counter. Source: K. Ousterhout et al., "Sparrow: Distributed,
 * Low Latency Scheduling", SOSP 2013 (late binding with cancellation). If another region is likely to run the request
 * sooner and the shift cap permits it, one owner of that region gets a slot request too. Not thread-safe.
 */
public final class SlotRouter {
    private final DataCentreName localDataCentre;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<RegionName, Duration> delays;
    private final ShiftLimiter limiter;
    private final Map<DataCentreName, SlotLoad> loads = new HashMap<>();
    private Predicate<DataCentreName> isUsable = d -> true;

    private SlotRouter(
            DataCentreName localDataCentre,
            Map<DataCentreName, RegionName> regions,
            Map<RegionName, Duration> delays,
            ShiftLimiter limiter) {
        this.localDataCentre = localDataCentre;
        this.regions = Map.copyOf(regions);
        this.delays = Map.copyOf(delays);
        this.limiter = limiter;
    }

    /**
     * Creates a router without load information.
     *
     * @param localDataCentre data centre of the local VM
     * @param regions regions of the data centres that have backend servers of the service, and of the local data centre
     * @param delays one-way network delay to each other region
     * @param limiter limits the share of the service's requests that leave their assigned region
     * @return the router
     */
    public static SlotRouter create(
            DataCentreName localDataCentre,
            Map<DataCentreName, RegionName> regions,
            Map<RegionName, Duration> delays,
            ShiftLimiter limiter) {
        return new SlotRouter(localDataCentre, regions, delays, limiter);
    }

    /**
     * Sets the predicate that excludes unreachable and drained data centres.
     *
     * @param test returns true for a data centre that may get slot requests
     */
    public void updateUsableDataCentres(Predicate<DataCentreName> test) {
        isUsable = test;
    }

    /**
     * Updates the load of an owner from a response or a load report.
     *
     * @param dataCentre the owner's data centre
     * @param load its load, possibly out of date
     */
    public void updateLoad(DataCentreName dataCentre, SlotLoad load) {
        loads.put(dataCentre, load);
    }

    /**
     * Creates the slot search for a new client request.
     *
     * @param now wall-clock time
     * @return the search, not yet started
     */
    public SlotSearch createSearch(Instant now) {
        return new SlotSearch(this, limiter.assign(now));
    }

    Optional<DataCentreName> preferredIn(RegionName region) {
        List<DataCentreName> candidates = usableIn(region);
        return candidates.contains(localDataCentre) ? Optional.of(localDataCentre) : mostIdle(candidates);
    }

    List<DataCentreName> usableIn(RegionName region) {
        return regions.entrySet().stream()
                .filter(e -> e.getValue().equals(region))
                .map(Map.Entry::getKey)
                .filter(isUsable)
                .sorted()
                .toList();
    }

    /** Returns the nearest data centre of another region with an idle slot, according to the last reported loads. */
    Optional<DataCentreName> nearestIdleInOtherRegion(RegionName assigned, Collection<DataCentreName> excluded) {
        List<DataCentreName> others = new ArrayList<>();
        for (DataCentreName d : regions.keySet()) {
            RegionName r = regions.get(d);
            if (!r.equals(assigned) && !excluded.contains(d) && isUsable.test(d) && load(d).idle() > 0) {
                others.add(d);
            }
        }
        return others.stream()
                .min(Comparator.<DataCentreName, Duration>comparing(d -> delay(regions.get(d)))
                        .thenComparingInt(d -> -load(d).idle())
                        .thenComparing(Comparator.naturalOrder()));
    }

    private Optional<DataCentreName> mostIdle(List<DataCentreName> candidates) {
        return candidates.stream()
                .max(Comparator.<DataCentreName>comparingInt(d -> load(d).idle() - load(d).waiting())
                        .thenComparing(Comparator.reverseOrder()));
    }

    boolean isLocalRegion(RegionName r) {
        return r.equals(regions.get(localDataCentre));
    }

    boolean tryDeviate() {
        return limiter.tryDeviate();
    }

    void giveBackDeviation() {
        limiter.cancelDeviation();
    }

    private Duration delay(RegionName r) {
        return isLocalRegion(r) ? Duration.ZERO : delays.getOrDefault(r, Duration.ofSeconds(1));
    }

    /**
     * Returns the last reported load of an owner.
     *
     * @param d the owner's data centre
     * @return its load, possibly out of date; {@link SlotLoad#NONE} if none was reported
     */
    public SlotLoad load(DataCentreName d) {
        return loads.getOrDefault(d, SlotLoad.NONE);
    }
}
