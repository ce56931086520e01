package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;

/**
 * Content of the row {@code config/head}.
 *
 * @param current newest version, pending or accepted
 * @param submission the submission that created the newest version
 * @param accepted newest accepted version; equal to {@code current} once that version is accepted
 */
public record ConfigHead(ConfigRef current, Submission submission, ConfigRef accepted) {
    /**
     * Returns whether the newest version is not accepted yet.
     *
     * @return true if the newest version is pending
     */
    public boolean isPending() {
        return !current.equals(accepted);
    }

    /**
     * Returns the pending version.
     *
     * @return the newest version, empty if it is accepted
     */
    public Optional<ConfigRef> pending() {
        return isPending() ? Optional.of(current) : Optional.empty();
    }

    /**
     * Returns the row content after the newest version is accepted.
     *
     * @return this head with {@code current} as the accepted version
     */
    public ConfigHead toAccepted() {
        return new ConfigHead(current, submission, current);
    }

    /**
     * Returns the row content after another submission.
     *
     * @param next the version that follows {@code current}
     * @param by the submission that created it
     * @return the head with {@code next} pending
     */
    public ConfigHead withPending(ConfigRef next, Submission by) {
        return new ConfigHead(next, by, accepted);
    }

    /**
     * Returns the number of the newest version.
     *
     * @return the version number of {@code current}
     */
    public ConfigVersion version() {
        return current.version();
    }
}
