package org.lycheetray.edge.exchange;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.suspect.RequestFingerprint;

/**
 * Finds out whether a lost connection means that the backend server has crashed, once for all requests that lost their
 * connections to it.
 *
 * <p>Not thread-safe: used on the event loop only.
 */
final class CrashDetector {
    /** Checks a server; the callback receives true if it has crashed. */
    @FunctionalInterface
    interface Check {
        void run(RegisteredServer server, Consumer<Boolean> callback);
    }

    private final Check check;
    private final BiConsumer<RegisteredServer, List<RequestFingerprint>> onCrash;
    private final Map<Incarnation, List<LostRequest>> lost = new HashMap<>();

    private record Incarnation(BackendServerName server, long number) {}

    private record LostRequest(Supplier<RequestFingerprint> fingerprint, Consumer<Boolean> afterCheck) {}

    /**
     * Creates a detector.
     *
     * @param check checks a server
     * @param onCrash receives a server that has crashed, and the requests that were in flight there
     */
    CrashDetector(Check check, BiConsumer<RegisteredServer, List<RequestFingerprint>> onCrash) {
        this.check = check;
        this.onCrash = onCrash;
    }

    /**
     * Records that a request lost its connection to a server before it was answered.
     *
     * @param server the server
     * @param request computes the fingerprint of the request, if the server has crashed
     * @param afterCheck called when it is known whether the server has crashed
     */
    void recordLostConnection(
            RegisteredServer server, Supplier<RequestFingerprint> request, Consumer<Boolean> afterCheck) {
        Incarnation key = new Incarnation(server.name(), server.incarnation());
        LostRequest r = new LostRequest(request, afterCheck);
        List<LostRequest> waiting = lost.get(key);
        if (waiting != null) {
            waiting.add(r);
            return;
        }
        lost.put(key, new ArrayList<>(List.of(r)));
        check.run(server, crashed -> {
            List<LostRequest> requests = lost.remove(key);
            if (crashed) {
                onCrash.accept(
                        server,
                        requests.stream().map(q -> q.fingerprint().get()).toList());
            }
            requests.forEach(q -> q.afterCheck().accept(crashed));
        });
    }
}
