package org.lycheetray.standin.backend;

import java.util.List;

/**
 * One run of a request, in JSON.
 *
 * @param number position in the log, from 0
 * @param requestId identity told by the system, null if none
 * @param idempotencyKey idempotency key, null if none
 * @param account client account told by the system, null if none
 * @param backendServer server that ran it
 * @param method HTTP method
 * @param path path without query
 * @param start milliseconds since the epoch
 * @param end milliseconds since the epoch, null while it runs
 * @param state how it ended
 * @param headerNames names of all headers received, in order of arrival
 */
record Run(
        long number,
        String requestId,
        String idempotencyKey,
        String account,
        String backendServer,
        String method,
        String path,
        long start,
        Long end,
        RunState state,
        List<String> headerNames) {
    Run {
        headerNames = List.copyOf(headerNames);
    }

    Run at(long position) {
        return new Run(
                position,
                requestId,
                idempotencyKey,
                account,
                backendServer,
                method,
                path,
                start,
                end,
                state,
                headerNames);
    }

    Run ended(long time, RunState how) {
        return new Run(
                number, requestId, idempotencyKey, account, backendServer, method, path, start, time, how, headerNames);
    }
}
