package org.lycheetray.core.ledger.internal;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.time.Instant;
import java.util.Arrays;
import java.util.Optional;
import org.lycheetray.core.ledger.LedgerCount;
import org.lycheetray.core.ledger.LedgerKey;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.ServiceName;

/** JSON representation of segment heads, lines and counts. Fields without a value are omitted. */
public final class JsonLedger {
    private static final JsonMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    private JsonLedger() {}

    /**
     * Returns the writer of a JSON value.
     *
     * @return the writer
     */
    public static ObjectWriter writer() {
        return MAPPER.writer();
    }

    /**
     * Returns the reader of JSON values of one type.
     *
     * @param type class of the values
     * @return the reader
     */
    public static ObjectReader reader(Class<?> type) {
        return MAPPER.readerFor(type);
    }

    private static Outcome outcome(String label) {
        return Arrays.stream(Outcome.values())
                .filter(o -> o.label().equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown outcome " + label));
    }

    private static Optional<RouteClass> routeClass(String label) {
        if (label == null) {
            return Optional.empty();
        }
        return Optional.of(Arrays.stream(RouteClass.values())
                .filter(c -> c.label().equals(label))
                .findFirst()
                .orElseThrow(() -> new IllegalArgumentException("unknown route class " + label)));
    }

    /**
     * First line of a segment.
     *
     * @param format version of the format
     * @param vm name of the VM
     * @param incarnation number of the incarnation
     * @param segment number of the segment
     * @param sealedAt time of sealing
     * @param before number of requests recorded in earlier segments
     * @param unrecorded number of requests not recorded so far for lack of memory
     * @param last true if it is the last segment of the incarnation
     * @param lines number of lines that follow
     * @param counts number of counts that follow the lines
     */
    public record Head(
            int format,
            String vm,
            long incarnation,
            long segment,
            String sealedAt,
            long before,
            long unrecorded,
            boolean last,
            int lines,
            int counts) {
        /** Current version of the format. */
        public static final int FORMAT = 1;

        /**
         * Creates the head of a segment.
         *
         * @param s the segment
         * @return the head
         */
        public static Head of(LedgerSegment s) {
            return new Head(
                    FORMAT,
                    s.incarnation().vm().value(),
                    s.incarnation().number(),
                    s.number(),
                    s.sealedAt().toString(),
                    s.precedingRequests(),
                    s.unrecordedRequests(),
                    s.last(),
                    s.lines().size(),
                    s.counts().size());
        }
    }

    /**
     * JSON form of a {@link LedgerLine}.
     *
     * @param time arrival time of the request
     * @param id identifier of the request
     * @param account client account
     * @param routeClass class of the route
     * @param host host of the route
     * @param route path prefix of the route
     * @param open true if the route is open
     * @param service service of the route
     * @param region region of the backend server
     * @param outcome outcome reported to the caller
     * @param reason reason for the outcome
     * @param config version of the configuration
     * @param server backend server used last
     * @param attempts number of attempts at backend servers
     * @param status HTTP status
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Line(
            String time,
            String id,
            String account,
            String routeClass,
            String host,
            String route,
            Boolean open,
            String service,
            String region,
            String outcome,
            String reason,
            long config,
            String server,
            int attempts,
            int status) {
        /**
         * Creates the JSON form of a line.
         *
         * @param l the line
         * @return the JSON form
         */
        public static Line of(LedgerLine l) {
            Optional<Route> r = l.route();
            return new Line(
                    l.time().toString(),
                    l.id().value(),
                    l.account().map(ClientAccountName::value).orElse(null),
                    r.map(v -> v.routeClass().label()).orElse(null),
                    r.map(Route::host).orElse(null),
                    r.map(Route::pathPrefix).orElse(null),
                    r.map(Route::open).orElse(null),
                    r.map(v -> v.service().value()).orElse(null),
                    l.region().map(RegionName::value).orElse(null),
                    l.outcome().label(),
                    l.reason(),
                    l.config().number(),
                    l.server().map(BackendServerName::value).orElse(null),
                    l.attempts(),
                    l.status());
        }

        /**
         * Converts to a ledger line.
         *
         * @return the line
         */
        public LedgerLine toLine() {
            return new LedgerLine(
                    Instant.parse(time),
                    new RequestId(id),
                    Optional.ofNullable(account).map(ClientAccountName::new),
                    JsonLedger.routeClass(routeClass)
                            .map(c -> new Route(host, route, new ServiceName(service), c, Boolean.TRUE.equals(open))),
                    Optional.ofNullable(region).map(RegionName::new),
                    JsonLedger.outcome(outcome),
                    reason,
                    new ConfigVersion(config),
                    Optional.ofNullable(server).map(BackendServerName::new),
                    attempts,
                    status);
        }
    }

    /**
     * JSON form of a {@link LedgerCount}.
     *
     * @param account client account
     * @param hour start of the hour
     * @param routeClass class of the route
     * @param outcome outcome reported to the callers
     * @param reason reason for the outcome
     * @param requests number of requests
     */
    @JsonInclude(JsonInclude.Include.NON_NULL)
    public record Count(String account, String hour, String routeClass, String outcome, String reason, long requests) {
        /**
         * Creates the JSON form of a count.
         *
         * @param c the count
         * @return the JSON form
         */
        public static Count of(LedgerCount c) {
            LedgerKey k = c.key();
            return new Count(
                    k.account().map(ClientAccountName::value).orElse(null),
                    k.hour().toString(),
                    k.routeClass().map(RouteClass::label).orElse(null),
                    k.outcome().label(),
                    k.reason(),
                    c.requests());
        }

        /**
         * Converts to a ledger count.
         *
         * @return the count
         */
        public LedgerCount toCount() {
            return new LedgerCount(
                    new LedgerKey(
                            Optional.ofNullable(account).map(ClientAccountName::new),
                            Instant.parse(hour),
                            JsonLedger.routeClass(routeClass),
                            JsonLedger.outcome(outcome),
                            reason),
                    requests);
        }
    }
}
