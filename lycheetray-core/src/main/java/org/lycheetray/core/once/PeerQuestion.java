package org.lycheetray.core.once;

import org.lycheetray.core.model.Incarnation;

/**
 * Identifies another VM's question about the result of an attempt of this process.
 *
 * @param asker the process that asked; an answer to an earlier incarnation of its VM is dropped
 * @param number number that the asking process gave to the question
 */
public record PeerQuestion(Incarnation asker, long number) {}
