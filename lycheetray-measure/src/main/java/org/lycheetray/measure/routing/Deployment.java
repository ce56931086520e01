package org.lycheetray.measure.routing;

import java.time.Duration;
import java.util.List;

/**
 * Size and delays of one operator's fleet: three regions of two data centres each.
 *
 * @param name its name in figures
 * @param betweenDataCentres one-way delay between data centres of a region
 * @param betweenRegions one-way delay between regions
 * @param serversPerDataCentre backend servers of the service
 * @param slots slots of each backend server
 * @param vmsPerDataCentre entry VMs, for the first and second data centre of each region
 */
record Deployment(
        String name,
        Duration betweenDataCentres,
        Duration betweenRegions,
        int serversPerDataCentre,
        int slots,
        List<Integer> vmsPerDataCentre) {
    static final int REGIONS = 3;
    static final int DATA_CENTRES = 6;
    static final Duration WITHIN_DATA_CENTRE = Duration.ofNanos(100_000);

    static final Deployment OLWYN =
            new Deployment("olwyn", Duration.ofMillis(1), Duration.ofMillis(12), 2, 3, List.of(2, 1));
    static final Deployment GATOLOTE =
            new Deployment("gatolote", Duration.ofNanos(500_000), Duration.ofMillis(20), 2, 3, List.of(2, 1));

    int totalSlots() {
        return DATA_CENTRES * serversPerDataCentre * slots;
    }

    int regionOf(int dataCentre) {
        return dataCentre / 2;
    }

    long delay(int a, int b) {
        if (a == b) {
            return WITHIN_DATA_CENTRE.toNanos();
        }
        return (regionOf(a) == regionOf(b) ? betweenDataCentres : betweenRegions).toNanos();
    }
}
