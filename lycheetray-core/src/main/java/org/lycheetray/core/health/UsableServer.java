package org.lycheetray.core.health;

import org.lycheetray.core.model.BackendServer;

/**
 * A backend server that may receive new requests.
 *
 * @param server the server
 * @param slots number of slots that may currently be used, at least 1
 * @param state state that determines the number of slots
 */
public record UsableServer(BackendServer server, int slots, ServerState state) {}
