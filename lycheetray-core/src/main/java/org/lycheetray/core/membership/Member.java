package org.lycheetray.core.membership;

import org.lycheetray.core.model.Incarnation;

/**
 * An entry VM's process and its state.
 *
 * @param incarnation the process
 * @param state what is known of it
 */
public record Member(Incarnation incarnation, MemberState state) {}
