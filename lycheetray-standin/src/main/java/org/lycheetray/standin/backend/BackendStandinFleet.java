package org.lycheetray.standin.backend;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.standin.http.JsonHttp;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** All backend servers of a manifest in one process; every server answers for all at {@code /_standin/}. */
public final class BackendStandinFleet implements AutoCloseable {
    private static final String ALL = "*";

    private final RunLog runs;
    private final Map<String, BackendStandinServer> servers = new LinkedHashMap<>();
    private final CountDownLatch closed = new CountDownLatch(1);

    private BackendStandinFleet(BackendStandinSettings s) {
        runs = new RunLog(s.rememberedRuns());
        Map<ServiceName, Service> services = new LinkedHashMap<>();
        s.manifest().services().forEach(v -> services.put(v.name(), v));
        ServiceTimes times = s.serviceTimes();
        for (BackendServer b : s.manifest().backendServers()) {
            servers.put(
                    b.name().value(),
                    new BackendStandinServer(
                            b,
                            services.get(b.service()).coldStart(),
                            s.restartTime(),
                            times,
                            runs,
                            s.clock(),
                            this::control));
        }
    }

    /**
     * Starts all servers.
     *
     * @param settings manifest and times
     * @return the running servers
     */
    public static BackendStandinFleet create(BackendStandinSettings settings) {
        BackendStandinFleet fleet = new BackendStandinFleet(settings);
        try {
            fleet.servers.values().forEach(BackendStandinServer::start);
            return fleet;
        } catch (RuntimeException e) {
            fleet.close();
            throw e;
        }
    }

    /**
     * Tells how many servers there are.
     *
     * @return the number
     */
    public int size() {
        return servers.size();
    }

    /**
     * Waits until the fleet is closed.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    public void await() throws InterruptedException {
        closed.await();
    }

    @Override
    public void close() {
        servers.values().forEach(BackendStandinServer::close);
        closed.countDown();
    }

    private Mono<Void> control(BackendStandinServer asked, HttpServerRequest q, HttpServerResponse p) {
        return switch (JsonHttp.operation(q)) {
            case "GET /_standin/runs" ->
                JsonHttp.json(
                        p,
                        200,
                        runs.since(JsonHttp.parameter(q, "since")
                                .map(Long::parseLong)
                                .orElse(0L)));
            case "GET /_standin/stats" ->
                JsonHttp.json(
                        p,
                        200,
                        servers.values().stream()
                                .map(BackendStandinServer::stats)
                                .toList());
            case "POST /_standin/fault" -> JsonHttp.body(q).flatMap(b -> changeFaults(asked, b, p));
            default -> JsonHttp.problem(p, 404, "no such operation: " + JsonHttp.operation(q));
        };
    }

    private Mono<Void> changeFaults(BackendStandinServer asked, byte[] body, HttpServerResponse p) {
        BackendFault fault = JsonHttp.parse(body, BackendFault.class);
        List<BackendStandinServer> meant = new ArrayList<>();
        if (fault.server() == null) {
            meant.add(asked);
        } else if (fault.server().equals(ALL)) {
            meant.addAll(servers.values());
        } else if (servers.containsKey(fault.server())) {
            meant.add(servers.get(fault.server()));
        } else {
            return JsonHttp.problem(p, 404, "no such backend server: " + fault.server());
        }
        meant.forEach(s -> s.change(fault));
        return JsonHttp.json(
                p, 200, meant.stream().map(BackendStandinServer::stats).toList());
    }
}
