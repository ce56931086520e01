package org.lycheetray.core.config.internal;

import java.util.Comparator;
import java.util.Optional;
import java.util.function.Predicate;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Keeps the newest evidence that no version newer than the loaded ones was accepted.
 *
 * <p>Evidence applies only once all versions up to its bound are loaded. Until then the newest such evidence is
 * deferred.
 */
public final class FreshnessTracker {
    /** Evidence that no version newer than {@code bound} had been accepted at a time of the local monotonic clock. */
    public record Evidence(ConfigVersion bound, MonotonicTime at) {}

    private Optional<Evidence> confirmed = Optional.empty();
    private Optional<Evidence> deferred = Optional.empty();

    /**
     * Adds evidence.
     *
     * @param e the evidence
     * @param loadedUpTo returns whether the local VM has loaded all versions up to a given one
     */
    public void add(Evidence e, Predicate<ConfigVersion> loadedUpTo) {
        if (loadedUpTo.test(e.bound)) {
            confirmed = newer(confirmed, e);
        } else {
            deferred = newer(deferred, e);
        }
    }

    /**
     * Applies the deferred evidence if all versions up to its bound are loaded now.
     *
     * @param loadedUpTo returns whether the local VM has loaded all versions up to a given one
     */
    public void reevaluateDeferred(Predicate<ConfigVersion> loadedUpTo) {
        if (deferred.isPresent() && loadedUpTo.test(deferred.get().bound)) {
            confirmed = newer(confirmed, deferred.get());
            deferred = Optional.empty();
        }
    }

    /**
     * Returns the newest evidence whose versions are all loaded.
     *
     * @return the evidence, empty if there has been none
     */
    public Optional<Evidence> confirmed() {
        return confirmed;
    }

    private static Optional<Evidence> newer(Optional<Evidence> a, Evidence b) {
        return Optional.of(
                a.filter(e -> Comparator.<MonotonicTime>naturalOrder().compare(e.at, b.at) >= 0)
                        .orElse(b));
    }
}
