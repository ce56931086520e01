package org.lycheetray.standin.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.Service;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.ShiftCap;

class BackendStandinFleetTest {
    private static final ServiceName SERVICE = new ServiceName("rota");

    private final HttpClient http =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private int portA;
    private int portB;
    private BackendStandinFleet fleet;

    @BeforeEach
    void start() throws IOException {
        portA = freePort();
        portB = freePort();
        fleet = BackendStandinFleet.create(new BackendStandinSettings(manifest())
                .standardTime(Duration.ofMillis(1))
                .restartTime(Duration.ofMillis(300)));
    }

    @AfterEach
    void stop() {
        http.close();
        fleet.close();
    }

    @Test
    void answerNamesServerAndRequestAndTheRunIsListed() throws Exception {
        HttpResponse<String> r = send(request(portA, "/rota", "x")
                .header("Lycheetray-Request-Id", "r1")
                .header("Lycheetray-Account", "gata"));

        assertThat(r.body()).contains("\"server\":\"a\"", "\"requestId\":\"r1\"", "\"account\":\"gata\"");
        assertThat(runs()).contains("\"requestId\":\"r1\"", "\"state\":\"answered\"", "Lycheetray-Account");
    }

    @Test
    void shedsWhatFindsNoRoomWithTheProofThatItWasNotRun() throws Exception {
        fault("{\"server\":\"a\",\"delayMs\":200}");
        List<CompletableFuture<HttpResponse<String>>> sent = IntStream.range(0, 5)
                .mapToObj(
                        i -> http.sendAsync(request(portA, "/rota", "x").build(), HttpResponse.BodyHandlers.ofString()))
                .toList();

        List<HttpResponse<String>> got =
                sent.stream().map(CompletableFuture::join).toList();

        assertThat(got).filteredOn(r -> r.statusCode() == 200).hasSize(4);
        assertThat(got)
                .filteredOn(r -> r.headers().firstValue("Lycheetray-Not-Run").isPresent())
                .hasSize(1);
    }

    @Test
    void crashDropsEveryRunAndTheServerComesBack() throws Exception {
        fault("{\"server\":\"a\",\"crashOnBody\":\"boom\",\"delayMs\":10000}");
        var bystander = http.sendAsync(request(portA, "/rota", "x").build(), HttpResponse.BodyHandlers.ofString());
        awaitRuns("\"state\":\"running\"");

        assertThatThrownBy(() -> send(request(portA, "/rota", "a boom b"))).isInstanceOf(IOException.class);
        assertThatThrownBy(bystander::join).hasCauseInstanceOf(IOException.class);
        fault("{\"server\":\"a\",\"delayMs\":0}");

        awaitRefusal(portA);
        assertThat(eventually(portA).statusCode()).isEqualTo(200);
        assertThat(runs()).doesNotContain("\"state\":\"running\"").contains("\"state\":\"crashed\"");
    }

    @Test
    void connectionsOnceSilentStaySilentAndNewOnesWork() throws Exception {
        send(request(portA, "/rota", "x"));
        fault("{\"server\":\"a\",\"silent\":true}");
        fault("{\"server\":\"a\",\"silent\":false}");

        assertThatThrownBy(() -> send(request(portA, "/rota", "x").timeout(Duration.ofMillis(300))))
                .isInstanceOf(IOException.class);
        try (HttpClient fresh = HttpClient.newHttpClient()) {
            assertThat(fresh.send(request(portA, "/rota", "x").build(), HttpResponse.BodyHandlers.ofString())
                            .statusCode())
                    .isEqualTo(200);
        }
    }

    @Test
    void closedConnectionStopsTheRun() throws Exception {
        fault("{\"server\":\"a\",\"delayMs\":20000}");
        var sent = http.sendAsync(request(portA, "/rota", "x").build(), HttpResponse.BodyHandlers.ofString());
        awaitRuns("\"state\":\"running\"");

        sent.cancel(true);

        awaitRuns("\"state\":\"cancelled\"");
    }

    @Test
    void deadlineStopsTheRun() throws Exception {
        fault("{\"server\":\"a\",\"delayMs\":20000}");

        HttpResponse<String> r = send(request(portA, "/rota", "x").header("Lycheetray-Deadline-Ms", "50"));

        assertThat(r.statusCode()).isEqualTo(504);
        assertThat(r.headers().firstValue("Lycheetray-Not-Run")).isEmpty();
        assertThat(runs()).contains("\"state\":\"deadline\"");
    }

    @Test
    void drainingIsAnnounced() throws Exception {
        fault("{\"server\":\"a\",\"draining\":true}");

        assertThat(send(HttpRequest.newBuilder(uri(portA, "/_health"))).body())
                .isEqualTo("{\"healthy\":true,\"leaving\":true}");
    }

    @Test
    void largeAnswersAreStreamedWhole() throws Exception {
        assertThat(send(request(portA, "/rota?size=1000000", "x")).body()).hasSizeGreaterThan(1_000_000);
    }

    @Test
    void unknownServerIsRefused() throws Exception {
        HttpResponse<String> r = send(request(portB, "/_standin/fault", "{\"server\":\"z\"}"));

        assertThat(r.statusCode()).isEqualTo(404);
    }

    private void fault(String json) throws Exception {
        assertThat(send(request(portB, "/_standin/fault", json)).statusCode()).isEqualTo(200);
    }

    private String runs() throws Exception {
        return send(HttpRequest.newBuilder(uri(portB, "/_standin/runs"))).body();
    }

    private void awaitRuns(String text) throws Exception {
        for (int i = 0; i < 200 && !runs().contains(text); i++) {
            Thread.sleep(20);
        }
        assertThat(runs()).contains(text);
    }

    private void awaitRefusal(int port) throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                send(request(port, "/rota", "x"));
            } catch (ConnectException _) {
                return;
            }
        }
        throw new AssertionError("crashed server went on accepting");
    }

    private HttpResponse<String> eventually(int port) throws Exception {
        for (int i = 0; i < 200; i++) {
            try {
                return send(request(port, "/rota", "x"));
            } catch (IOException _) {
                Thread.sleep(20);
            }
        }
        throw new AssertionError("server did not come back");
    }

    private HttpResponse<String> send(HttpRequest.Builder request) throws Exception {
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    private static HttpRequest.Builder request(int port, String path, String body) {
        return HttpRequest.newBuilder(uri(port, path)).POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private static URI uri(int port, String path) {
        return URI.create("http://127.0.0.1:" + port + path);
    }

    private static int freePort() throws IOException {
        try (ServerSocket s = new ServerSocket(0)) {
            return s.getLocalPort();
        }
    }

    private Manifest manifest() {
        Service service = new Service(
                SERVICE, new ShiftCap(1, Duration.ofSeconds(1)), Duration.ofSeconds(5), Duration.ofSeconds(1), 10);
        return new Manifest(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(service),
                List.of(server("a", portA), server("b", portB)),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                new Policy(
                        Duration.ZERO, Duration.ofSeconds(1), Duration.ofHours(1), Duration.ofSeconds(5), 1_000_000));
    }

    private static BackendServer server(String name, int port) {
        return new BackendServer(
                new BackendServerName(name),
                SERVICE,
                new DataCentreName("dc"),
                new Endpoint("127.0.0.1", port),
                2,
                100);
    }
}
