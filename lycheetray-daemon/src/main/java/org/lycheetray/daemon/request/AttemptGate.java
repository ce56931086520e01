package org.lycheetray.daemon.request;

import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import reactor.core.publisher.Mono;

/** Tracks attempts at backend servers and decides whether a request may be sent, and sent again. */
public interface AttemptGate {
    /**
     * Checks before the first attempt whether a request is quarantined.
     *
     * @param request the request
     * @param digest digest of its content
     * @return a refusal if requests with this content are quarantined, else empty
     */
    Optional<Refusal> checkQuarantine(RequestContext request, String digest);

    /**
     * Returns whether the request may be tried again, and charges the retry budget of its client account.
     *
     * <p>A retry is not charged if the last attempt could not reach a backend server.
     *
     * @param request the request
     * @param digest digest of its content
     * @param last result of the last attempt
     * @return whether another attempt is within the budget and the request is not quarantined
     */
    boolean tryAcquireRetry(RequestContext request, String digest, AttemptResult last);

    /**
     * Returns the servers to which the request must not be sent at present.
     *
     * <p>A request that is suspected of crashing servers avoids servers that run another suspect, so that a further
     * crash can be attributed to one of them.
     *
     * @param digest digest of its content
     * @return the servers to avoid; empty unless the request is a suspect
     */
    Set<BackendServerName> serversToAvoid(String digest);

    /**
     * Records that an attempt starts.
     *
     * @param server the backend server
     * @param request the request
     * @param digest digest of its content
     */
    void recordStart(BackendServer server, RequestContext request, String digest);

    /**
     * Records how an attempt ended.
     *
     * @param server the backend server
     * @param request the request
     * @param digest digest of its content
     * @param result result of the attempt
     * @return completes when the caller may get its response: immediately, except after a lost connection. Then a crash
     *     of the server is first reported to the other VMs, so that a resend by the caller cannot reach a VM before the
     *     report does
     */
    Mono<Void> recordEnd(BackendServer server, RequestContext request, String digest, AttemptResult result);
}
