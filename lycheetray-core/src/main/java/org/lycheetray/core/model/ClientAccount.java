package org.lycheetray.core.model;

import java.util.List;

/**
 * A client account, which represents a customer of the operators.
 *
 * @param name unique name
 * @param keyHashes hashes of its valid keys; more than one while keys are rotated
 * @param rate rate limit and burst size over the whole fleet
 * @param weight weight in the sharing of contended slots relative to other client accounts, at least 1
 */
public record ClientAccount(ClientAccountName name, List<KeyHash> keyHashes, Rate rate, int weight) {
    /** Copies the list. */
    public ClientAccount {
        keyHashes = List.copyOf(keyHashes);
    }
}
