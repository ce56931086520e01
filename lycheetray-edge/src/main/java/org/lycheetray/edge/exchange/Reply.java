package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.lycheetray.daemon.request.Body;
import org.lycheetray.edge.MemoryBudget;

/**
 * The reply to a caller.
 *
 * @param status HTTP status code
 * @param headers headers, without hop-by-hop headers and Content-Length
 * @param body complete body
 * @param memory memory of the body of a backend server's answer
 */
public record Reply(int status, HttpHeaders headers, Body body, Optional<MemoryBudget.AnswerMemory> memory) {
    /**
     * Creates a reply of the VM itself, whose body is too small to be counted.
     *
     * @param status HTTP status code
     * @param headers headers, without hop-by-hop headers and Content-Length
     * @param body complete body
     */
    public Reply(int status, HttpHeaders headers, Body body) {
        this(status, headers, body, Optional.empty());
    }
}
