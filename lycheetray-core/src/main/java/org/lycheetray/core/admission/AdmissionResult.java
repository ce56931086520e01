package org.lycheetray.core.admission;

import java.util.List;

/**
 * The result of {@link DistributedRateLimiter#admit}.
 *
 * @param decision whether the request may run
 * @param effects actions that the caller must perform, in order
 */
public record AdmissionResult(RateDecision decision, List<RateEffect> effects) {
    /** Creates a result with an immutable copy of the list. */
    public AdmissionResult {
        effects = List.copyOf(effects);
    }
}
