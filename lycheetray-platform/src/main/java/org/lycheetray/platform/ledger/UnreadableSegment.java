package org.lycheetray.platform.ledger;

/**
 * A ledger object that could not be read as a segment.
 *
 * @param name name of the object
 * @param problem why it could not be read
 */
public record UnreadableSegment(String name, String problem) {}
