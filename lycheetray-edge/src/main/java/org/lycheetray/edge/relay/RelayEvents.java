package org.lycheetray.edge.relay;

import io.netty.handler.codec.http.HttpHeaders;
import org.lycheetray.core.placement.AvailabilityStatement;

/** Receives what another VM tells of a backend server apart from the result of an attempt. */
interface RelayEvents {
    /**
     * The server answered.
     *
     * @param status status of the answer
     * @param headers headers of the answer
     */
    void answered(int status, HttpHeaders headers);

    /**
     * The server has said that it accepts no requests.
     *
     * @param statement the server's statement, with the time that is left of a pause
     */
    void unavailable(AvailabilityStatement statement);

    /** The server crashed while it had the request. */
    void crashed();
}
