package org.lycheetray.platform.wire;

/**
 * A write that took effect, in JSON.
 *
 * @param revision revision of the written rows
 */
public record WireApplied(long revision) {}
