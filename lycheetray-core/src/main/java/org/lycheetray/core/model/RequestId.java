package org.lycheetray.core.model;

/**
 * Identity of one request, unique over the fleet.
 *
 * @param value text of at most 64 characters, shown to callers
 */
public record RequestId(String value) {
    @Override
    public String toString() {
        return value;
    }
}
