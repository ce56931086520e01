package org.lycheetray.core.once;

import org.lycheetray.core.model.VmName;

/**
 * A question of another VM about an attempt of this process.
 *
 * @param asker the VM that asks
 * @param number the asker's number of the question
 */
public record PeerQuestion(VmName asker, long number) {}
