package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;

/**
 * Content of the row {@code config/head}.
 *
 * @param current newest version, pending or accepted
 * @param submission who submitted it
 * @param accepted newest accepted version; equal to {@code current} once that is accepted
 */
public record ConfigHead(ConfigRef current, Submission submission, ConfigRef accepted) {
    /**
     * Tells whether the newest version waits for acceptance.
     *
     * @return true while pending
     */
    public boolean isPending() {
        return !current.equals(accepted);
    }

    /**
     * Gives the version that waits for acceptance.
     *
     * @return empty if there is none
     */
    public Optional<ConfigRef> pending() {
        return isPending() ? Optional.of(current) : Optional.empty();
    }

    /**
     * Gives the row's content after acceptance.
     *
     * @return the same with everything accepted
     */
    public ConfigHead toAccepted() {
        return new ConfigHead(current, submission, current);
    }

    /**
     * Gives the row's content after a further submission.
     *
     * @param next version that follows {@code current}
     * @param by who submitted it
     * @return the pending head
     */
    public ConfigHead withPending(ConfigRef next, Submission by) {
        return new ConfigHead(next, by, accepted);
    }

    /**
     * Gives the newest version.
     *
     * @return its number
     */
    public ConfigVersion version() {
        return current.version();
    }
}
