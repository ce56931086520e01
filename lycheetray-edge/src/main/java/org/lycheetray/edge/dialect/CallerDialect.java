package org.lycheetray.edge.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;

/** Reads the headers by which callers identify themselves and state their expectations. */
public interface CallerDialect {
    /**
     * Returns the identifier that the caller assigned to the request.
     *
     * @param headers the caller's headers
     * @return the request identifier, or empty if there is none
     */
    Optional<String> requestId(HttpHeaders headers);

    /**
     * Returns how long the caller waits for the reply.
     *
     * @param headers the caller's headers
     * @return the timeout, or empty if it is missing or not valid
     */
    Optional<Duration> timeout(HttpHeaders headers);

    /**
     * Returns the key of the caller's client account.
     *
     * @param headers the caller's headers
     * @return the key, or empty if there is none
     */
    Optional<String> accountKey(HttpHeaders headers);

    /**
     * Returns the object that the request concerns, used to route requests for an object to the same server.
     *
     * @param headers the caller's headers
     * @return name of the object, or empty if there is none
     */
    Optional<String> objectName(HttpHeaders headers);

    /**
     * Sets the request identifier on a response that the edge creates itself.
     *
     * @param headers headers of the response; modified in place
     * @param requestId the request identifier
     */
    void setRequestId(HttpHeaders headers, String requestId);
}
