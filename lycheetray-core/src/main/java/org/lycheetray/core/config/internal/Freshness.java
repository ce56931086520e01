package org.lycheetray.core.config.internal;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Keeps the newest evidence that nothing newer was accepted.
 *
 * <p>Evidence counts only once everything that it speaks of is loaded. Until then the newest of it waits.
 */
public final class Freshness {
    /** Evidence taken at a point of this process's clock. */
    public record Evidence(ConfigVersion bound, MonotonicTime at) {}

    private Optional<Evidence> counted = Optional.empty();
    private Optional<Evidence> waiting = Optional.empty();

    /**
     * Takes evidence in.
     *
     * @param e the evidence
     * @param covers tells whether everything up to a version is applied here
     */
    public void add(Evidence e, Predicate<ConfigVersion> covers) {
        if (covers.test(e.bound)) {
            counted = later(counted, e);
        } else {
            waiting = later(waiting, e);
        }
    }

    /**
     * Counts evidence that waited, if all that it speaks of is applied now.
     *
     * @param covers tells whether everything up to a version is applied here
     */
    public void recheck(Predicate<ConfigVersion> covers) {
        if (waiting.isPresent() && covers.test(waiting.get().bound)) {
            counted = later(counted, waiting.get());
            waiting = Optional.empty();
        }
    }

    /**
     * Gives the newest evidence that counts.
     *
     * @return empty if there never was any
     */
    public Optional<Evidence> counted() {
        return counted;
    }

    private static Optional<Evidence> later(Optional<Evidence> a, Evidence b) {
        return Optional.of(
                a.filter(e -> Comparator.<MonotonicTime>naturalOrder().compare(e.at, b.at) >= 0)
                        .orElse(b));
    }
}
