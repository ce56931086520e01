package org.lycheetray.standin.platform;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.PutResult;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.memory.FaultInjector;
import org.lycheetray.platform.memory.MemoryObjectStore;
import org.lycheetray.platform.memory.MemoryTableService;
import org.lycheetray.platform.wire.PlatformPaths;
import org.lycheetray.platform.wire.WireApplied;
import org.lycheetray.platform.wire.WireNames;
import org.lycheetray.platform.wire.WireRow;
import org.lycheetray.platform.wire.WireRows;
import org.lycheetray.platform.wire.WireVms;
import org.lycheetray.platform.wire.WireWrite;
import org.lycheetray.standin.http.JsonHttp;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/**
 * The platform in one process and in memory.
 *
 * <p>An outage and a lost answer both show as a connection closed without answer, so that callers cannot tell them
 * apart. Operations beyond the budget are answered 429 with the promise that nothing was written.
 */
public final class PlatformStandinServer implements AutoCloseable {
    private static final Duration STOP_LIMIT = Duration.ofSeconds(2);
    private static final int DEFAULT_LIMIT = 500;

    private final FaultInjector faults;
    private final MemoryTableService tables;
    private final MemoryObjectStore objects;
    private final LaggingVmList vms;
    private final OperationBudget reads;
    private final OperationBudget writes;
    private final DisposableServer server;

    private PlatformStandinServer(PlatformStandinSettings s) {
        faults = new FaultInjector(s.seed());
        tables = new MemoryTableService(faults);
        objects = new MemoryObjectStore(faults);
        vms = new LaggingVmList(
                s.clock(),
                s.vmListLag(),
                s.vms().stream()
                        .map(v -> new VmListing.ListedVm(v, VmListing.State.LIVE))
                        .toList());
        reads = new OperationBudget(s.clock(), s.readsPerSecond());
        writes = new OperationBudget(s.clock(), s.writesPerSecond());
        server = HttpServer.create()
                .host(s.host())
                .port(s.port())
                .handle(this::handle)
                .bindNow();
    }

    /**
     * Starts a stand-in.
     *
     * @param settings where to listen and what to allow
     * @return the running server
     */
    public static PlatformStandinServer create(PlatformStandinSettings settings) {
        return new PlatformStandinServer(settings);
    }

    /**
     * Gives the address.
     *
     * @return {@code http://host:port}
     */
    public URI url() {
        return URI.create("http://" + server.host() + ":" + server.port());
    }

    /**
     * Gives the switches for faults.
     *
     * @return switches that apply to every call
     */
    public FaultInjector faults() {
        return faults;
    }

    /** Waits until the server is stopped. */
    public void await() {
        server.onDispose().block();
    }

    @Override
    public void close() {
        server.disposeNow(STOP_LIMIT);
    }

    private Mono<Void> handle(HttpServerRequest q, HttpServerResponse p) {
        return Mono.defer(() -> dispatch(q, p))
                .onErrorResume(IllegalArgumentException.class, e -> JsonHttp.problem(p, 400, e.getMessage()))
                .onErrorResume(PlatformException.class, _ -> JsonHttp.hangUp(p));
    }

    private Mono<Void> dispatch(HttpServerRequest q, HttpServerResponse p) {
        return switch (JsonHttp.operation(q)) {
            case "GET " + PlatformPaths.ROW -> within(reads, p, () -> row(q, p));
            case "GET " + PlatformPaths.SCAN -> within(reads, p, () -> scan(q, p));
            case "POST " + PlatformPaths.WRITE -> within(writes, p, () -> write(q, p));
            case "GET " + PlatformPaths.OBJECT -> within(reads, p, () -> getObject(q, p));
            case "PUT " + PlatformPaths.OBJECT -> within(writes, p, () -> putObject(q, p));
            case "GET " + PlatformPaths.OBJECTS -> within(reads, p, () -> list(q, p));
            case "GET " + PlatformPaths.VMS -> within(reads, p, () -> listVms(p));
            case "GET /_standin/stats" -> JsonHttp.json(p, 200, new Stats(reads.usage(), writes.usage()));
            case "POST /_standin/fault" -> changeFaults(q, p);
            case "POST /_standin/vms" -> changeVms(q, p);
            default -> JsonHttp.problem(p, 404, "no such operation: " + JsonHttp.operation(q));
        };
    }

    private static Mono<Void> within(OperationBudget budget, HttpServerResponse p, Supplier<Mono<Void>> operation) {
        if (budget.tryTake()) {
            return operation.get();
        }
        p.header(PlatformPaths.NOT_WRITTEN, "1");
        return JsonHttp.problem(p, 429, "budget of the second is used up");
    }

    private Mono<Void> row(HttpServerRequest q, HttpServerResponse p) {
        return tables.read(new RowKey(JsonHttp.required(q, "key")))
                .flatMap(r -> r.isPresent()
                        ? JsonHttp.json(p, 200, WireRow.of(r.get()))
                        : JsonHttp.problem(p, 404, "no such row"));
    }

    private Mono<Void> scan(HttpServerRequest q, HttpServerResponse p) {
        Optional<RowKey> after = JsonHttp.parameter(q, "after").map(RowKey::new);
        return tables.scan(JsonHttp.required(q, "prefix"), after, limit(q))
                .flatMap(page -> JsonHttp.json(
                        p,
                        200,
                        new WireRows(
                                page.rows().stream().map(WireRow::of).toList(),
                                page.next().map(RowKey::value).orElse(null))));
    }

    private Mono<Void> write(HttpServerRequest q, HttpServerResponse p) {
        return JsonHttp.body(q)
                .map(b -> JsonHttp.parse(b, WireWrite.class).toChanges())
                .flatMap(tables::write)
                .flatMap(r -> switch (r) {
                    case WriteResult.Applied a -> JsonHttp.json(p, 200, new WireApplied(a.revision()));
                    case WriteResult.Conflict c -> JsonHttp.json(p, 409, conflict(c));
                    case WriteResult.Unknown _ -> JsonHttp.hangUp(p);
                });
    }

    private static WireRows conflict(WriteResult.Conflict c) {
        return new WireRows(c.present().stream().map(WireRow::of).toList(), null);
    }

    private Mono<Void> getObject(HttpServerRequest q, HttpServerResponse p) {
        return objects.get(JsonHttp.required(q, "name"))
                .flatMap(o ->
                        o.isPresent() ? JsonHttp.bytes(p, 200, o.get()) : JsonHttp.problem(p, 404, "no such object"));
    }

    private Mono<Void> putObject(HttpServerRequest q, HttpServerResponse p) {
        return JsonHttp.body(q)
                .flatMap(b -> objects.putIfAbsent(JsonHttp.required(q, "name"), b))
                .flatMap(r -> r == PutResult.STORED
                        ? JsonHttp.bytes(p, 201, new byte[0])
                        : JsonHttp.problem(p, 412, "name is taken"));
    }

    private Mono<Void> list(HttpServerRequest q, HttpServerResponse p) {
        return objects.list(JsonHttp.required(q, "prefix"), JsonHttp.parameter(q, "after"), limit(q))
                .flatMap(page -> JsonHttp.json(
                        p, 200, new WireNames(page.names(), page.next().orElse(null))));
    }

    private Mono<Void> listVms(HttpServerResponse p) {
        return faults.apply("vms.list", Mono.fromSupplier(vms::listing))
                .flatMap(l -> JsonHttp.json(p, 200, WireVms.of(l)));
    }

    private Mono<Void> changeFaults(HttpServerRequest q, HttpServerResponse p) {
        return JsonHttp.body(q).flatMap(b -> {
            JsonHttp.parse(b, PlatformFault.class).applyTo(faults);
            return JsonHttp.json(p, 200, new Done(true));
        });
    }

    private Mono<Void> changeVms(HttpServerRequest q, HttpServerResponse p) {
        return JsonHttp.body(q).flatMap(b -> {
            VmChange change = JsonHttp.parse(b, VmChange.class);
            vms.change(new WireVms(VmChange.NO_TIME, change.vms()).toListing().vms());
            return JsonHttp.json(p, 200, new Done(true));
        });
    }

    private static int limit(HttpServerRequest q) {
        return JsonHttp.parameter(q, "limit").map(Integer::parseInt).orElse(DEFAULT_LIMIT);
    }

    /**
     * What was used of the budgets.
     *
     * @param reads table reads, scans, object reads, lists and VM lists
     * @param writes table writes and object puts
     */
    record Stats(OperationBudget.Usage reads, OperationBudget.Usage writes) {}

    /**
     * Confirms a change.
     *
     * @param done true
     */
    record Done(boolean done) {}

    /**
     * A new list of VMs in JSON.
     *
     * @param vms all live and leaving VMs
     */
    record VmChange(List<WireVms.WireVm> vms) {
        private static final String NO_TIME = "1970-01-01T00:00:00Z";
    }
}
