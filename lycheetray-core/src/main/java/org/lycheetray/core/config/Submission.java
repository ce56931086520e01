package org.lycheetray.core.config;

import java.time.Instant;

/**
 * Identity of a submission and of the operator who made it.
 *
 * @param id unique identifier, by which a submitter recognises its own write after a lost answer
 * @param operator name shown to other operators, for example a login name
 * @param at wall-clock time of the submission
 */
public record Submission(String id, String operator, Instant at) {
    @Override
    public String toString() {
        return "submission " + id + " by " + operator + " at " + at;
    }
}
