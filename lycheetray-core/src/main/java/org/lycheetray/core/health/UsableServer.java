package org.lycheetray.core.health;

import org.lycheetray.core.model.BackendServer;

/**
 * A backend server that may be given new work.
 *
 * @param server the server
 * @param slots slots that may be used at present, at least 1
 * @param state why it has that many
 */
public record UsableServer(BackendServer server, int slots, ServerState state) {}
