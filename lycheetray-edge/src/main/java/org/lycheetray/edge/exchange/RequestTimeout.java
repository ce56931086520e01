package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import org.lycheetray.core.time.DurationUtil;
import org.lycheetray.core.traffic.TrafficRoute;

/** Timeouts of requests, as stated by their callers and routes. */
final class RequestTimeout {
    /** Longest time that a caller is taken to wait; longer ones would overflow the time of the deadline. */
    private static final Duration MAX_CALLER_TIMEOUT = Duration.ofDays(1);

    private RequestTimeout() {}

    /** Returns the time for which the caller waits for the reply, counted from the head of its request. */
    static Duration ofCaller(ExchangeContext context, HttpHeaders headers, TrafficRoute r) {
        return context.callers()
                .timeout(headers)
                .map(d -> DurationUtil.shorter(d, MAX_CALLER_TIMEOUT))
                .orElse(r.timeout());
    }

    /** Returns the time from the head of a request to its deadline, given the time for which its caller waits. */
    static Duration ofRequest(Duration callerTimeout, TrafficRoute r) {
        return DurationUtil.shorter(callerTimeout, r.timeout());
    }
}
