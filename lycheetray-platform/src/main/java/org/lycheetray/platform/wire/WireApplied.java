package org.lycheetray.platform.wire;

/**
 * JSON form of the result of a write that was applied.
 *
 * @param revision revision of the written rows
 */
public record WireApplied(long revision) {}
