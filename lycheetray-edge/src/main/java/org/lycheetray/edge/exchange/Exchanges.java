package org.lycheetray.edge.exchange;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.registry.RegisteredServer;
import org.lycheetray.core.stop.AnswerTimes;
import org.lycheetray.core.stop.StopSchedule;
import org.lycheetray.core.suspect.RequestFingerprint;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.AccountPolicy;
import org.lycheetray.core.traffic.TrafficRoute;

/**
 * Starts and counts the exchanges in progress, and retries those that wait for a backend server.
 *
 * <p>Not thread-safe: used on the event loop only, except for {@link #startLeaving}.
 */
public final class Exchanges {
    /** Retry-After of a request that the VM has no room to begin; there is again when some others are answered. */
    public static final Duration UNSTARTED_RETRY_AFTER = Duration.ofMillis(500);

    private final ExchangeContext context;
    private final PendingRequests pending = new PendingRequests();
    private final CrashDetector crashes;
    private final Set<Exchange> inProgress = new LinkedHashSet<>();
    private final AnswerTimes answerTimes = new AnswerTimes();
    private volatile Optional<StopSchedule> stop = Optional.empty();
    private long sequence;
    private boolean retryScheduled;

    /**
     * Creates an instance without exchanges.
     *
     * @param context collaborators of the exchanges
     */
    public Exchanges(ExchangeContext context) {
        this.context = context;
        this.crashes = new CrashDetector(context.backends()::checkCrashed, context.steering()::recordServerCrash);
    }

    /**
     * Starts an exchange for a request.
     *
     * @param request the request
     * @param responder called with the reply, at most once; never called if the caller disconnects first
     * @return the exchange
     */
    public Exchange start(IncomingRequest request, Consumer<Reply> responder) {
        Exchange e = new Exchange(this, context, request, sequence++, responder);
        inProgress.add(e);
        e.start();
        return e;
    }

    /**
     * From now on, starts only attempts that can finish before the planned stop ends them, and refuses other requests as
     * not run. May be called by any thread.
     *
     * @param schedule schedule of the stop
     */
    public void startLeaving(StopSchedule schedule) {
        stop = Optional.of(schedule);
    }

    /**
     * Drops what is known of routes that do not exist any more.
     *
     * @param routes the existing routes
     */
    public void retainRoutes(List<TrafficRoute> routes) {
        answerTimes.retainRoutes(routes.stream().map(TrafficRoute::name).toList());
    }

    /**
     * Refuses a request that the VM has no room to begin.
     *
     * @param request the request, without its body
     * @param outcome why it is refused
     * @param responder called with the reply
     * @return the exchange, which has finished
     */
    public Exchange refuseUnstarted(IncomingRequest request, Outcome outcome, Consumer<Reply> responder) {
        Exchange e = new Exchange(this, context, request, sequence++, responder);
        e.refuseUnstarted(outcome);
        return e;
    }

    /**
     * Returns the client account of a request.
     *
     * @param headers headers of the request
     * @return the account, or empty if the request has no key or one that no account holds
     */
    public Optional<ClientAccountName> account(HttpHeaders headers) {
        return context.steering()
                .config()
                .flatMap(c -> context.callers().accountKey(headers).flatMap(c::account))
                .map(AccountPolicy::name);
    }

    /**
     * Returns the time from the head of a request to its deadline.
     *
     * @param uri path and query
     * @param headers headers of the request
     * @return the time, or empty if no route serves the request
     */
    public Optional<Duration> timeout(String uri, HttpHeaders headers) {
        return context.steering()
                .config()
                .flatMap(c -> c.route(headers.get(HttpHeaderNames.HOST, ""), IncomingRequest.path(uri)))
                .map(r -> RequestTimeout.ofRequest(RequestTimeout.ofCaller(context, headers, r), r));
    }

    /**
     * Returns the number of exchanges in progress.
     *
     * @return number of exchanges that have not finished
     */
    public int inProgressCount() {
        return inProgress.size();
    }

    /**
     * Ends all exchanges in progress with a reply, because the VM stops: requests that were not sent are refused as not
     * run, the others get a reply that promises nothing.
     *
     * @return number of exchanges that were in progress
     */
    public int endAll() {
        List<Exchange> remaining = List.copyOf(inProgress);
        remaining.forEach(Exchange::endForStop);
        return remaining.size();
    }

    /** Repeats the requests that are unanswered on the local VM's connections, because it has lost its paths to servers. */
    public void repeatElsewhere() {
        List.copyOf(inProgress).forEach(Exchange::repeatElsewhere);
    }

    /**
     * Returns the number of exchanges that wait for a backend server with free capacity.
     *
     * @return number of pending exchanges
     */
    public int pendingCount() {
        return pending.size();
    }

    /** Retries the placement of pending exchanges in order of priority, then of arrival. */
    public void retryPending() {
        for (ServiceName s : pending.services()) {
            pending.inOrder(s).forEach(Exchange::retryPlacement);
        }
    }

    /** Schedules a retry of pending exchanges after the current event, when its connection is reusable again. */
    void scheduleRetryPending() {
        if (!retryScheduled && pending.size() > 0) {
            retryScheduled = true;
            context.loop().execute(() -> {
                retryScheduled = false;
                retryPending();
            });
        }
    }

    /**
     * Returns whether new requests are refused as not run because the VM is leaving.
     *
     * @return true from a certain time of a planned stop on
     */
    public boolean isRefusing() {
        return stop.filter(s -> !s.accepts(context.clock().monotonic())).isPresent();
    }

    /** Returns whether an attempt may be started: false if a planned stop would probably end it. */
    boolean canFinish(TrafficRoute route, MonotonicTime deadline) {
        return stop.map(s -> s.canFinish(
                        answerTimes.likelyWithin(route),
                        deadline,
                        context.clock().monotonic()))
                .orElse(true);
    }

    AnswerTimes answerTimes() {
        return answerTimes;
    }

    /**
     * Finds out whether a server has crashed while a request of another VM was in flight there.
     *
     * @param server the server to which a connection was lost
     * @param request computes the fingerprint of the request
     * @param callback called with true if the server has crashed
     */
    public void checkCrashed(
            RegisteredServer server, Supplier<RequestFingerprint> request, Consumer<Boolean> callback) {
        crashes.recordLostConnection(server, request, callback);
    }

    CrashDetector crashes() {
        return crashes;
    }

    PendingRequests pending() {
        return pending;
    }

    void exchangeFinished(Exchange e) {
        inProgress.remove(e);
    }
}
