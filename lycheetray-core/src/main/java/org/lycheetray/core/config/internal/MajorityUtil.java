package org.lycheetray.core.config.internal;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.time.MonotonicTime;

/** Counts data centres. */
public final class MajorityUtil {
    private MajorityUtil() {}

    /**
     * Gives the data centres that count: those with entry VMs.
     *
     * @param manifest the manifest
     * @return their names
     */
    public static Set<DataCentreName> voting(Manifest manifest) {
        return manifest.vms().stream().map(Vm::dataCentre).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Condenses a set of data centres, alike in all processes.
     *
     * @param dataCentres the set
     * @return equal for equal sets
     */
    public static int fingerprint(Set<DataCentreName> dataCentres) {
        return dataCentres.stream().map(DataCentreName::value).sorted().toList().hashCode();
    }

    /**
     * Tells whether some data centres are more than half of all.
     *
     * @param all all that count
     * @param some any data centres
     * @return true if they are a majority
     */
    public static boolean isMajority(Set<DataCentreName> all, Collection<DataCentreName> some) {
        long present = some.stream().distinct().filter(all::contains).count();
        return present * 2 > all.size();
    }

    /**
     * Finds the latest time since which a majority has been heard.
     *
     * @param all all data centres that count
     * @param heard gives the latest time for a data centre, empty if never
     * @return empty if no majority has ever been heard
     */
    public static Optional<MonotonicTime> heardSince(
            Set<DataCentreName> all, Function<DataCentreName, Optional<MonotonicTime>> heard) {
        List<MonotonicTime> latestFirst = all.stream()
                .flatMap(d -> heard.apply(d).stream())
                .sorted(Comparator.reverseOrder())
                .toList();
        int needed = all.size() / 2 + 1;
        return latestFirst.size() < needed ? Optional.empty() : Optional.of(latestFirst.get(needed - 1));
    }
}
