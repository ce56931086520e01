package org.lycheetray.edge.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;

/** The headers by which callers say who they are and what they expect. */
public interface CallerDialect {
    /**
     * The identity that the caller gave its attempt.
     *
     * @param headers the caller's headers
     * @return the identity, or empty if there is none
     */
    Optional<String> requestId(HttpHeaders headers);

    /**
     * How long the caller waits.
     *
     * @param headers the caller's headers
     * @return the time, or empty if it does not say or what it says is not a time
     */
    Optional<Duration> patience(HttpHeaders headers);

    /**
     * The key of the caller's client account.
     *
     * @param headers the caller's headers
     * @return the key, or empty if there is none
     */
    Optional<String> key(HttpHeaders headers);

    /**
     * What the request concerns, so that requests for one object can be kept together.
     *
     * @param headers the caller's headers
     * @return name of the object, or empty if there is none
     */
    Optional<String> object(HttpHeaders headers);

    /**
     * Marks a response of the edge's own as one for a certain request.
     *
     * @param headers headers of the response
     * @param requestId the request's identity
     */
    void answerTo(HttpHeaders headers, String requestId);
}
