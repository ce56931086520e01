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

/** Computes majorities of data centres. */
public final class MajorityUtil {
    private MajorityUtil() {}

    /**
     * Returns the data centres that count for majorities, which are those with entry VMs.
     *
     * @param manifest the manifest
     * @return the names of the data centres
     */
    public static Set<DataCentreName> votingDataCentres(Manifest manifest) {
        return manifest.vms().stream().map(Vm::dataCentre).collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns a hash of a set of data centres that is the same in all processes.
     *
     * @param dataCentres the set
     * @return the hash; equal for equal sets
     */
    public static int fingerprint(Set<DataCentreName> dataCentres) {
        return dataCentres.stream().map(DataCentreName::value).sorted().toList().hashCode();
    }

    /**
     * Returns whether some data centres are more than half of all voting ones.
     *
     * @param all all voting data centres
     * @param some the data centres to count; those that do not vote are ignored
     * @return true if they are a majority
     */
    public static boolean isMajority(Set<DataCentreName> all, Collection<DataCentreName> some) {
        long present = some.stream().distinct().filter(all::contains).count();
        return present * 2 > all.size();
    }

    /**
     * Returns the latest time since which a majority of data centres has answered.
     *
     * @param all all voting data centres
     * @param latestAnswer returns the time of the latest answer of a data centre, empty if it never answered
     * @return the time, empty if no majority has answered
     */
    public static Optional<MonotonicTime> majorityHeardSince(
            Set<DataCentreName> all, Function<DataCentreName, Optional<MonotonicTime>> latestAnswer) {
        List<MonotonicTime> latestFirst = all.stream()
                .flatMap(d -> latestAnswer.apply(d).stream())
                .sorted(Comparator.reverseOrder())
                .toList();
        int needed = all.size() / 2 + 1;
        return latestFirst.size() < needed ? Optional.empty() : Optional.of(latestFirst.get(needed - 1));
    }
}
