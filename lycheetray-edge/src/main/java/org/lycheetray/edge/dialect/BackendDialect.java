package org.lycheetray.edge.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.placement.ReportedLoad;

/** Maps request metadata to the headers sent to backend servers, and reads the headers of their answers. */
public interface BackendDialect {
    /**
     * Metadata sent to a backend server with a request.
     *
     * @param server the server that may run the request; any other must refuse it
     * @param account client account of the request, if any
     * @param remaining time left until the deadline, after which the answer is useless
     */
    record RequestMetadata(BackendServerName server, Optional<ClientAccountName> account, Duration remaining) {}

    /**
     * Removes headers that callers must not pass to backend servers and sets those that backend servers require.
     *
     * @param headers a copy of the caller's headers, without hop-by-hop headers; modified in place
     * @param metadata metadata to send
     */
    void setRequestHeaders(HttpHeaders headers, RequestMetadata metadata);

    /**
     * Returns the identifier of the request that an answer belongs to.
     *
     * @param headers headers of the answer
     * @return the request identifier, or empty if the answer has none; several are joined, so that they equal none
     */
    Optional<String> answeredRequestId(HttpHeaders headers);

    /**
     * Returns whether an answer proves that the server did not run the request.
     *
     * @param status status of the answer
     * @param headers headers of the answer
     * @return true only if the request will never run on the server
     */
    boolean isNotRun(int status, HttpHeaders headers);

    /**
     * Returns whether an answer reports that the request was meant for a different server.
     *
     * @param status status of the answer
     * @return true if a server other than the intended one answered
     */
    boolean isMisdirected(int status);

    /**
     * Returns whether an answer carries the server's signature.
     *
     * @param headers headers of the answer
     * @return true if the signature header is present
     */
    boolean isSigned(HttpHeaders headers);

    /**
     * Returns the load that the server reports with an answer.
     *
     * @param headers headers of the answer
     * @return the load, or empty if the answer does not report it
     */
    Optional<ReportedLoad> reportedLoad(HttpHeaders headers);

    /**
     * Returns the rate to which the server limits the requests of all VMs together.
     *
     * @param headers headers of the answer
     * @return the server's statement
     */
    RateStatement rateStatement(HttpHeaders headers);

    /**
     * Returns what an answer says about the requests that the server still accepts.
     *
     * @param status status of the answer
     * @param headers headers of the answer
     * @return the server's statement; empty if it makes none or it cannot be parsed
     */
    Optional<AvailabilityStatement> availability(int status, HttpHeaders headers);
}
