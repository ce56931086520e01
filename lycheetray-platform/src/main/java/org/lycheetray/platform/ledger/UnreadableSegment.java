package org.lycheetray.platform.ledger;

/**
 * An object in the ledger's place that is no segment.
 *
 * @param name name of the object
 * @param problem why it could not be read
 */
public record UnreadableSegment(String name, String problem) {}
