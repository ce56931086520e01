package org.lycheetray.core.model;

/**
 * Identifier of a request, unique in the fleet.
 *
 * @param value text of at most 64 characters, which is returned to callers
 */
public record RequestId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
