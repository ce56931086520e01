package org.lycheetray.core.admission;

import java.util.List;

/**
 * Result of {@link RateShares#admit}.
 *
 * @param decision whether the request may run
 * @param effects what else must be done, in order
 */
public record Admission(RateDecision decision, List<RateEffect> effects) {
    /** Copies the list. */
    public Admission {
        effects = List.copyOf(effects);
    }
}
