package org.lycheetray.core.once;

import org.lycheetray.core.model.Incarnation;

/**
 * A question of another VM about an attempt of this process.
 *
 * @param asker the process that asks; an answer to an earlier process of its VM is dropped
 * @param number the asker's number of the question
 */
public record PeerQuestion(Incarnation asker, long number) {}
