package org.lycheetray.daemon.request;

import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import reactor.core.publisher.Mono;

/** Watches attempts and decides what may be tried again. */
public interface AttemptGate {
    /**
     * Checks a request before its first attempt.
     *
     * @param request the request
     * @param digest identity of its content
     * @return a refusal if requests like this one are quarantined
     */
    Optional<Refusal> check(RequestContext request, String digest);

    /**
     * Takes part of the client account's retry budget, unless nothing reached a backend server.
     *
     * @param request the request
     * @param digest identity of its content
     * @param last how the last attempt ended
     * @return true if another attempt is within the budget and the request is not quarantined
     */
    boolean mayRetry(RequestContext request, String digest, AttemptResult last);

    /**
     * Gives the servers on which the request must not run at present, because it and another request there are both
     * suspected of crashing servers.
     *
     * @param digest identity of its content
     * @return the servers to avoid, mostly none
     */
    Set<BackendServerName> avoid(String digest);

    /**
     * Notes that an attempt begins.
     *
     * @param server the backend server
     * @param request the request
     * @param digest identity of its content
     */
    void started(BackendServer server, RequestContext request, String digest);

    /**
     * Notes how an attempt ended, at once.
     *
     * @param server the backend server
     * @param request the request
     * @param digest identity of its content
     * @param result how it ended
     * @return completes when the caller may be told: at once, but for a lost connection, where the fleet first hears of a
     *     crash, so that the caller's resend cannot overtake the news
     */
    Mono<Void> ended(BackendServer server, RequestContext request, String digest, AttemptResult result);
}
