package org.lycheetray.edge.dialect;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;

/** How callers ask which entry VMs to use, and how readiness is asked for. */
public interface LookupDialect {
    /**
     * A caller's question.
     *
     * @param host name of the host that the caller wants to reach, may be empty
     * @param region the caller's region, if it says so
     */
    record Question(String host, Optional<RegionName> region) {}

    /**
     * Reads a question.
     *
     * @param uri path and query
     * @return the question, or empty if it is none
     */
    Optional<Question> question(String uri);

    /**
     * Writes an answer.
     *
     * @param vms addresses of entry VMs
     * @param ttl how long the answer may be kept
     * @return body of the answer, JSON
     */
    byte[] answer(List<Endpoint> vms, Duration ttl);

    /**
     * Tells whether a request asks for readiness.
     *
     * @param uri path and query
     * @return true if it does
     */
    boolean isReadiness(String uri);
}
