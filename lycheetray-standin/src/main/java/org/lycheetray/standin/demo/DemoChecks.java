package org.lycheetray.standin.demo;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;

/** Sends a request of every kind, prints what came back and checks it against what the backend servers saw. */
public final class DemoChecks {
    private static final int OVER_RATE_FACTOR = 4;
    private static final Duration POLL = Duration.ofMillis(200);

    private final DemoPlan plan;
    private final Clock clock;
    private final DemoCaller caller;
    private final DemoReport report;
    private final Set<String> notRun = new HashSet<>();

    /**
     * Creates the checks.
     *
     * @param plan the example that is running
     * @param clock clock for times
     * @param out receives the table
     */
    public DemoChecks(DemoPlan plan, Clock clock, PrintStream out) {
        this.plan = plan;
        this.clock = clock;
        this.caller = new DemoCaller(clock);
        this.report = new DemoReport(out);
    }

    /**
     * Waits until every entry VM answers a page with 200.
     *
     * @param page path of the page
     * @param limit longest time to wait
     * @return true if all did in time
     */
    public boolean awaitAll(String page, Duration limit) {
        return await(limit, () -> plan.vms().stream().allMatch(v -> caller.isOk(v.callerEndpoint(), page)));
    }

    /**
     * Waits until every entry VM admits keyed requests; a fresh fleet's buckets are empty at first.
     *
     * @param limit longest time to wait
     * @return true if all did in time
     */
    public boolean awaitAdmission(Duration limit) {
        String path = plan.path(RouteClass.READ) + "/warm-up";
        String key = plan.key(plan.largeAccount());
        return await(
                limit,
                () -> plan.vms().stream()
                        .allMatch(v -> caller.send(DemoRequest.keyed("warm-up", v, path, key))
                                .isAnswered()));
    }

    /**
     * Runs all checks and prints the table.
     *
     * @return true if everything is as it should be
     */
    public boolean run() {
        report.header();
        ClientAccount large = plan.largeAccount();
        String key = plan.key(large);
        answered(DemoRequest.open("open", plan.vm(0), plan.openPath() + "/today"), "");
        answered(read("read", 1, key), large.name().value());
        answered(read("read, another entry VM", 5, key), large.name().value());
        answered(
                DemoRequest.keyed("queue", plan.vm(2), plan.path(RouteClass.QUEUE) + "/7", key),
                large.name().value());
        once(key);
        refused(read("wrong key", 3, "no-such-key"), 401);
        refused(DemoRequest.open("no key", plan.vm(4), plan.path(RouteClass.READ) + "/a"), 401);
        refused(DemoRequest.open("unknown route", plan.vm(5), "/no-such-route"), 404);
        overRate(plan.smallAccount());
        whatServersSaw();
        return report.finish();
    }

    /**
     * Tells how many requests were sent; the ledger must hold as many.
     *
     * @return the number, requests that waited for admission included
     */
    public long sent() {
        return caller.sent();
    }

    private DemoRequest read(String what, int vm, String key) {
        return DemoRequest.keyed(what, plan.vm(vm), plan.path(RouteClass.READ) + "/a", key);
    }

    private void answered(DemoRequest r, String account) {
        DemoAnswer a = caller.send(r);
        boolean own =
                a.requestId().equals(a.requestIdAtServer()) && !a.requestId().isEmpty();
        String told = a.account().equals("null") ? "" : a.account();
        report.answer(r, a, a.isAnswered() && own && told.equals(account));
    }

    private void refused(DemoRequest r, int status) {
        DemoAnswer a = caller.send(r);
        notRun.add(a.requestId());
        report.answer(r, a, a.isRefusedNotRun(status));
    }

    private void once(String key) {
        String path = plan.path(RouteClass.ONCE) + "/new";
        String name = "demo-" + UUID.randomUUID();
        refused(DemoRequest.once("once without idempotency key", plan.vm(6), path, key, Optional.empty()), 400);
        DemoRequest first = DemoRequest.once("once", plan.vm(6), path, key, Optional.of(name));
        DemoRequest again = DemoRequest.once("once, sent again elsewhere", plan.vm(7), path, key, Optional.of(name));
        DemoAnswer one = caller.send(first);
        report.answer(first, one, one.isAnswered());
        DemoAnswer two = caller.send(again);
        report.answer(again, two, two.isAnswered() && two.server().equals(one.server()));
        long ran = runs().stream()
                .filter(r -> r.path("idempotencyKey").asText("").equals(name))
                .count();
        report.statement("the repeated request ran " + ran + " time(s)", ran == 1);
    }

    private void overRate(ClientAccount account) {
        long burst = account.rate().burst();
        String key = plan.key(account);
        MonotonicTime start = clock.monotonic();
        List<DemoRequest> sent = IntStream.range(0, Math.toIntExact(burst * OVER_RATE_FACTOR))
                .mapToObj(i -> read("over-rate", i, key))
                .toList();
        List<DemoAnswer> got = caller.sendAll(sent);
        double seconds = clock.monotonic().since(start).toNanos() / 1e9;
        double allowed = burst + account.rate().perSecond() * seconds;
        long answers = got.stream().filter(DemoAnswer::isAnswered).count();
        List<DemoAnswer> refusals =
                got.stream().filter(a -> a.isRefusedNotRun(429)).toList();
        refusals.forEach(a -> notRun.add(a.requestId()));
        report.statement(
                String.format(
                        Locale.ROOT,
                        "over-rate: %s sent %d at one time, %d answered (at most %.0f allowed), %d refused",
                        account.name(),
                        sent.size(),
                        answers,
                        allowed,
                        refusals.size()),
                answers > 0 && answers <= allowed && answers + refusals.size() == sent.size());
        report.statement(
                "every refusal for the rate names a time for the retry",
                !refusals.isEmpty()
                        && refusals.stream().noneMatch(a -> a.retryAfter().isEmpty()));
    }

    private void whatServersSaw() {
        List<JsonNode> runs = runs();
        boolean keySeen = runs.stream().anyMatch(DemoChecks::hasAuthorization);
        report.statement("no backend server saw a key (" + runs.size() + " runs)", !keySeen && !runs.isEmpty());
        boolean ran =
                runs.stream().anyMatch(r -> notRun.contains(r.path("requestId").asText("")));
        report.statement("nothing refused as not run has run (" + notRun.size() + " refusals)", !ran);
    }

    private List<JsonNode> runs() {
        List<JsonNode> runs = new ArrayList<>();
        caller.page(plan.backendServers().getFirst().endpoint(), "/_standin/runs")
                .path("runs")
                .forEach(runs::add);
        return runs;
    }

    private static boolean hasAuthorization(JsonNode run) {
        for (JsonNode name : run.path("headerNames")) {
            if (name.asText().equalsIgnoreCase("authorization")) {
                return true;
            }
        }
        return false;
    }

    private boolean await(Duration limit, BooleanSupplier condition) {
        MonotonicTime end = clock.monotonic().plus(limit);
        while (!condition.getAsBoolean()) {
            if (end.isBefore(clock.monotonic())) {
                return false;
            }
            pause();
        }
        return true;
    }

    private static void pause() {
        try {
            Thread.sleep(POLL);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }
}
