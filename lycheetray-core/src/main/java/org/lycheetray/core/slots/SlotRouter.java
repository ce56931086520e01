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
 * Chooses, for the requests of one service that enter at one VM, which owners to ask for a slot.
 *
 * <p>The owner of the VM's own data centre is asked first. When it has no idle slot, the request queues with every owner
 * of the region at once and runs where a slot is granted first; the other asks are withdrawn. So the region's slots act as
 * one pool although nobody counts them together. Source: K. Ousterhout et al., "Sparrow: Distributed, Low Latency
 * Scheduling", SOSP 2013 (late binding with cancellation). If another region is likely to run the request sooner, and
 * the shift cap allows the request to leave, one owner there is asked too. For one thread.
 */
public final class SlotRouter {
    private final DataCentreName home;
    private final Map<DataCentreName, RegionName> regions;
    private final Map<RegionName, Duration> delays;
    private final ShiftLimiter limiter;
    private final Map<DataCentreName, SlotLoad> loads = new HashMap<>();
    private Predicate<DataCentreName> usable = d -> true;

    private SlotRouter(
            DataCentreName home,
            Map<DataCentreName, RegionName> regions,
            Map<RegionName, Duration> delays,
            ShiftLimiter limiter) {
        this.home = home;
        this.regions = Map.copyOf(regions);
        this.delays = Map.copyOf(delays);
        this.limiter = limiter;
    }

    /**
     * Creates a router that knows no loads yet.
     *
     * @param home the VM's data centre
     * @param regions region of each data centre with backend servers of the service, and of the VM's own
     * @param delays one-way delay to each other region
     * @param limiter limiter of the service's shifts
     * @return the router
     */
    public static SlotRouter create(
            DataCentreName home,
            Map<DataCentreName, RegionName> regions,
            Map<RegionName, Duration> delays,
            ShiftLimiter limiter) {
        return new SlotRouter(home, regions, delays, limiter);
    }

    /**
     * Sets which data centres can be asked, for reach and drains.
     *
     * @param test true for a data centre that can be asked
     */
    public void usable(Predicate<DataCentreName> test) {
        usable = test;
    }

    /**
     * Takes an owner's load, from an answer or a report.
     *
     * @param dataCentre the owner's data centre
     * @param load its load at some earlier moment
     */
    public void observe(DataCentreName dataCentre, SlotLoad load) {
        loads.put(dataCentre, load);
    }

    /**
     * Starts the search for a request that has arrived.
     *
     * @param now wall-clock time
     * @return the search, to be started
     */
    public SlotSearch search(Instant now) {
        return new SlotSearch(this, limiter.assign(now));
    }

    Optional<DataCentreName> firstIn(RegionName region) {
        List<DataCentreName> of = usableIn(region);
        return of.contains(home) ? Optional.of(home) : mostIdle(of);
    }

    List<DataCentreName> usableIn(RegionName region) {
        return regions.entrySet().stream()
                .filter(e -> e.getValue().equals(region))
                .map(Map.Entry::getKey)
                .filter(usable)
                .sorted()
                .toList();
    }

    /** Where another region would run a request sooner than its own, by loads that lag. */
    Optional<DataCentreName> soonerElsewhere(RegionName assigned, Collection<DataCentreName> asked) {
        List<DataCentreName> others = new ArrayList<>();
        for (DataCentreName d : regions.keySet()) {
            RegionName r = regions.get(d);
            if (!r.equals(assigned) && !asked.contains(d) && usable.test(d) && load(d).idle() > 0) {
                others.add(d);
            }
        }
        return others.stream()
                .min(Comparator.<DataCentreName, Duration>comparing(d -> delay(regions.get(d)))
                        .thenComparingInt(d -> -load(d).idle())
                        .thenComparing(Comparator.naturalOrder()));
    }

    private Optional<DataCentreName> mostIdle(List<DataCentreName> of) {
        return of.stream()
                .max(Comparator.<DataCentreName>comparingInt(d -> load(d).idle() - load(d).waiting())
                        .thenComparing(Comparator.reverseOrder()));
    }

    boolean isHomeRegion(RegionName r) {
        return r.equals(regions.get(home));
    }

    boolean tryDeviate() {
        return limiter.tryDeviate();
    }

    void giveBackDeviation() {
        limiter.giveBackDeviation();
    }

    private Duration delay(RegionName r) {
        return isHomeRegion(r) ? Duration.ZERO : delays.getOrDefault(r, Duration.ofSeconds(1));
    }

    /**
     * Gives the load that was last heard of.
     *
     * @param d the owner's data centre
     * @return its load at some earlier moment, {@link SlotLoad#NONE} if none was heard
     */
    public SlotLoad load(DataCentreName d) {
        return loads.getOrDefault(d, SlotLoad.NONE);
    }
}
