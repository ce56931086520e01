package org.lycheetray.core.config;

import java.time.Instant;

/**
 * Who submitted a version.
 *
 * @param id unique text that settles lost answers
 * @param operator name shown to others, for example a login name
 * @param at wall-clock time of the submission
 */
public record Submission(String id, String operator, Instant at) {
    @Override
    public String toString() {
        return "submission " + id + " by " + operator + " at " + at;
    }
}
