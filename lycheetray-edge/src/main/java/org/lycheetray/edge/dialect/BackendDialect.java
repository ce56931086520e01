package org.lycheetray.edge.dialect;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.placement.ReportedLoad;

/** The headers by which backend servers are told about a request and by which they tell how they are. */
public interface BackendDialect {
    /**
     * What a backend server must be told with a request.
     *
     * @param server the server that may run it; any other must refuse
     * @param account client account that it runs for, if any
     * @param left time after which the answer is of no use
     */
    record Instructions(BackendServerName server, Optional<ClientAccountName> account, Duration left) {}

    /**
     * Removes what callers may not tell backend servers and adds what these must be told.
     *
     * @param headers a copy of the caller's headers, without those of the connection
     * @param instructions what to tell
     */
    void instruct(HttpHeaders headers, Instructions instructions);

    /**
     * The identity of the request that an answer is for.
     *
     * @param headers headers of the answer
     * @return the identity, or empty if the answer does not say
     */
    Optional<String> answersTo(HttpHeaders headers);

    /**
     * Tells whether an answer proves that its request did not run.
     *
     * @param status status of the answer
     * @param headers headers of the answer
     * @return true only if it never will run there
     */
    boolean isNotRun(int status, HttpHeaders headers);

    /**
     * Tells whether an answer says that the addressed server does not live at the address.
     *
     * @param status status of the answer
     * @return true if another server answered
     */
    boolean isMisdirected(int status);

    /**
     * Tells whether an answer bears the server's signature.
     *
     * @param headers headers of the answer
     * @return true if it is signed
     */
    boolean isSigned(HttpHeaders headers);

    /**
     * The load that the server tells.
     *
     * @param headers headers of the answer
     * @return the load, or empty if it does not say
     */
    Optional<ReportedLoad> load(HttpHeaders headers);
}
