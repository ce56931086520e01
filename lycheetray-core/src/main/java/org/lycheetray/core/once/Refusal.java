package org.lycheetray.core.once;

import org.lycheetray.core.model.Outcome;

/**
 * What a caller is told when its request is not answered.
 *
 * @param point where it failed last
 * @param outcome what is proved of the whole request, all its attempts taken together
 */
public record Refusal(FailurePoint point, Outcome outcome) {}
