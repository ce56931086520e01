package org.lycheetray.core.membership;

import org.lycheetray.core.model.Incarnation;

/**
 * Incarnation of an entry VM and its state.
 *
 * @param incarnation the incarnation
 * @param state its last known state
 */
public record Member(Incarnation incarnation, MemberState state) {}
