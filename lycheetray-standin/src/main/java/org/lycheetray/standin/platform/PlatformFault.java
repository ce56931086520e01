package org.lycheetray.standin.platform;

import java.time.Duration;
import org.lycheetray.platform.memory.FaultInjector;

/**
 * A fault of the platform in JSON; a field that is left out stays as it is.
 *
 * @param down true to drop every call without answer or effect
 * @param slowMs milliseconds added to every call
 * @param loseAnswers share of writes, 0 to 1, whose connection is closed after they took effect
 */
record PlatformFault(Boolean down, Long slowMs, Double loseAnswers) {
    /** Checks the ranges. */
    PlatformFault {
        if (slowMs != null && slowMs < 0) {
            throw new IllegalArgumentException("slowMs must not be negative: " + slowMs);
        }
        if (loseAnswers != null && !(loseAnswers >= 0 && loseAnswers <= 1)) {
            throw new IllegalArgumentException("loseAnswers out of range 0 to 1: " + loseAnswers);
        }
    }

    void applyTo(FaultInjector faults) {
        if (down != null) {
            faults.setDown(down);
        }
        if (slowMs != null) {
            faults.setDelay(Duration.ofMillis(slowMs));
        }
        if (loseAnswers != null) {
            faults.setLostAnswerShare(loseAnswers);
        }
    }
}
