package org.lycheetray.edge.relay;

import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.lycheetray.core.registry.RegisteredServer;

/**
 * Finds out whether any of several backend servers accepts a connection of this VM.
 *
 * <p>One server alone can't tell a cut path from a crash: it may have crashed at the same time. Not thread-safe: used on
 * the event loop only.
 */
final class ReachComparison {
    private final Consumer<Boolean> callback;
    private int outstanding;
    private boolean completed;

    private ReachComparison(int servers, Consumer<Boolean> callback) {
        this.outstanding = servers;
        this.callback = callback;
    }

    /**
     * Connects to all the servers at once.
     *
     * @param servers the servers, at least one
     * @param connect connects to a server, and tells whether it accepted the connection
     * @param callback called once: with true when the first server accepts, with false when all have failed
     */
    static void start(
            List<RegisteredServer> servers,
            BiConsumer<RegisteredServer, Consumer<Boolean>> connect,
            Consumer<Boolean> callback) {
        ReachComparison c = new ReachComparison(servers.size(), callback);
        servers.forEach(s -> connect.accept(s, c::record));
    }

    private void record(boolean accepted) {
        outstanding--;
        if (!completed && (accepted || outstanding == 0)) {
            completed = true;
            callback.accept(accepted);
        }
    }
}
