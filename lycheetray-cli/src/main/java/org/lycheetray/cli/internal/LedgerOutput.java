package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.lycheetray.core.ledger.LedgerGap;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerTotal;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Route;

/** Formats ledger lines, totals and gaps as table rows, CSV and JSON. */
final class LedgerOutput {
    static final String TOTAL_CSV = "period,account,requests,answered,not_run,unknown,reasons";
    static final String LINE_CSV =
            "time,id,account,class,route,service,region,outcome,reason,config,server,attempts,status";

    private static final String NO_ACCOUNT = "(none)";

    private LedgerOutput() {}

    static String totalHeading() {
        return "%-20s %-24s %10s %10s %10s %10s  %s"
                .formatted("period", "account", "requests", "answered", "not-run", "unknown", "reasons");
    }

    static String totalRow(LedgerTotal t) {
        return "%-20s %-24s %10d %10d %10d %10d  %s"
                .formatted(
                        t.period(),
                        account(t.account(), NO_ACCOUNT),
                        t.requests(),
                        t.answered(),
                        t.notRun(),
                        t.unknown(),
                        reasons(t));
    }

    static String totalCsv(LedgerTotal t) {
        return csv(
                t.period(), account(t.account(), ""), t.requests(), t.answered(), t.notRun(), t.unknown(), reasons(t));
    }

    static ObjectNode totalJson(LedgerTotal t) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("period", t.period().toString())
                .put("account", t.account().map(ClientAccountName::value).orElse(null))
                .put("requests", t.requests())
                .put("answered", t.answered())
                .put("notRun", t.notRun())
                .put("unknown", t.unknown());
        ObjectNode reasons = json.putObject("reasons");
        t.reasons().forEach(reasons::put);
        return json;
    }

    static String lineCsv(LedgerLine l) {
        return csv(
                l.time(),
                l.id(),
                account(l.account(), ""),
                text(l.route().map(r -> r.routeClass().label())),
                text(l.route().map(Route::pathPrefix)),
                text(l.route().map(Route::service)),
                text(l.region()),
                l.outcome().label(),
                l.reason(),
                l.config(),
                text(l.server()),
                l.attempts(),
                l.status());
    }

    static String lineRow(LedgerLine l) {
        return "%-30s %-36s %-24s %-9s %-22s %-24s %s"
                .formatted(
                        l.time(),
                        l.id(),
                        account(l.account(), NO_ACCOUNT),
                        l.outcome().label(),
                        l.reason(),
                        text(l.server()),
                        text(l.route().map(Route::pathPrefix)));
    }

    static ObjectNode lineJson(LedgerLine l) {
        return JsonNodeFactory.instance
                .objectNode()
                .put("time", l.time().toString())
                .put("id", l.id().value())
                .put("account", l.account().map(ClientAccountName::value).orElse(null))
                .put("class", l.route().map(r -> r.routeClass().label()).orElse(null))
                .put("route", l.route().map(Route::pathPrefix).orElse(null))
                .put("service", l.route().map(r -> r.service().value()).orElse(null))
                .put("region", l.region().map(Object::toString).orElse(null))
                .put("outcome", l.outcome().label())
                .put("reason", l.reason())
                .put("config", l.config().number())
                .put("server", l.server().map(Object::toString).orElse(null))
                .put("attempts", l.attempts())
                .put("status", l.status());
    }

    static String gapRow(LedgerGap g) {
        String size = g.requests().isPresent() ? g.requests().getAsLong() + " requests" : "number of requests unknown";
        return "%s: %s from segment %d, %s, between %s and %s"
                .formatted(g.kind().label(), g.incarnation(), g.firstNumber(), size, g.from(), end(g));
    }

    static ObjectNode gapJson(LedgerGap g) {
        ObjectNode json = JsonNodeFactory.instance
                .objectNode()
                .put("kind", g.kind().label())
                .put("vm", g.incarnation().vm().value())
                .put("incarnation", g.incarnation().number())
                .put("firstSegment", g.firstNumber())
                .put("from", g.from().toString())
                .put("to", g.to().equals(Instant.MAX) ? null : g.to().toString());
        g.requests().ifPresent(n -> json.put("requests", n));
        return json;
    }

    private static String end(LedgerGap g) {
        return g.to().equals(Instant.MAX) ? "now" : g.to().toString();
    }

    private static String reasons(LedgerTotal t) {
        return t.reasons().entrySet().stream()
                .map(e -> e.getKey() + "=" + e.getValue())
                .collect(Collectors.joining(" "));
    }

    private static String account(Optional<ClientAccountName> name, String defaultText) {
        return name.map(ClientAccountName::value).orElse(defaultText);
    }

    private static String text(Optional<?> value) {
        return value.map(Object::toString).orElse("");
    }

    private static String csv(Object... fields) {
        return List.of(fields).stream().map(LedgerOutput::quote).collect(Collectors.joining(","));
    }

    private static String quote(Object field) {
        String text = field.toString();
        boolean plain = text.chars().noneMatch(c -> c == ',' || c == '"' || c == '\n' || c == '\r');
        return plain ? text : '"' + text.replace("\"", "\"\"") + '"';
    }
}
