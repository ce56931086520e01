package org.lycheetray.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against refusals by a VM that has lost its paths to all servers while another VM reaches them. */
class VmWithoutPathsToServersTest {
    private static final int SERVERS = 5;
    private static final int REQUESTS = 12;
    private static final Duration WORK = Duration.ofMillis(20);
    private static final Duration LONG_WORK = Duration.ofMillis(500);

    private final List<AutoCloseable> resources = new ArrayList<>();
    private final List<ScriptedBackendServer> servers = new ArrayList<>();
    private final List<CuttableLink> links = new ArrayList<>();
    private EdgeFixture vm;
    private EdgeFixture peer;

    private void start() throws IOException, InterruptedException {
        vm = add(new EdgeFixture());
        peer = add(vm.newPeer("peer"));
        vm.configure(1);
        peer.configure(1);
        for (int i = 0; i < SERVERS; i++) {
            ScriptedBackendServer server = add(new ScriptedBackendServer(VmWithoutPathsToServersTest::answerLater));
            CuttableLink link = add(new CuttableLink(server.port()));
            servers.add(server);
            links.add(link);
            vm.register("s-" + i, link.port(), 1, false, EdgeFixture.SERVICE);
            peer.register("s-" + i, server.port(), 1, false, EdgeFixture.SERVICE);
        }
        vm.awaitReady();
        peer.awaitReady();
        vm.awaitPeers(1);
    }

    private <T extends AutoCloseable> T add(T resource) {
        resources.addFirst(resource);
        return resource;
    }

    @AfterEach
    void stop() throws Exception {
        for (AutoCloseable r : resources) {
            r.close();
        }
    }

    private static void answerLater(ScriptedBackendServer.Request r, OutputStream out, Socket s) throws IOException {
        LockSupport.parkNanos(WORK.toNanos());
        ScriptedBackendServer.write(out, ScriptedBackendServer.signedAnswer(r.header("X-Id"), "answer"));
    }

    private void cutAll(CuttableLink.Cut how) throws IOException {
        for (CuttableLink l : links) {
            l.cut(how);
        }
    }

    private List<Integer> statuses(String path, String idPrefix) throws IOException {
        List<Integer> statuses = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            statuses.add(
                    vm.request(EdgeFixture.post(path + i, idPrefix + i, "body")).status());
        }
        return statuses;
    }

    private long arrivals(String id) {
        return servers.stream()
                .flatMap(s -> s.requests().stream())
                .filter(r -> r.header("X-Id").equals(id))
                .count();
    }

    @ParameterizedTest
    @EnumSource
    void requestsAreAnsweredThroughAnotherVm(CuttableLink.Cut how) throws Exception {
        start();
        vm.awaitStatus("/read/before", 200);

        cutAll(how);
        vm.awaitStatus("/read/cut", 200);

        assertThat(statuses("/read/", "read-")).containsOnly(200);
        assertThat(statuses("/order/", "order-")).containsOnly(200);
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(arrivals("order-" + i)).isEqualTo(1);
        }
    }

    @Test
    void requestsForServersOutOfReachAreAnsweredThroughAnotherVm() throws Exception {
        start();
        links.get(0).cut(CuttableLink.Cut.RESET);
        links.get(1).cut(CuttableLink.Cut.SILENT);

        assertThat(statuses("/order/", "order-")).containsOnly(200);
    }

    @Test
    void requestsGoDirectlyAgainAfterTheCut() throws Exception {
        start();
        cutAll(CuttableLink.Cut.RESET);
        vm.awaitStatus("/read/cut", 200);

        for (CuttableLink l : links) {
            l.restore();
        }
        peer.close();

        vm.awaitStatus("/order/after", 200);
    }

    /** Guards against refusals as not run of requests that have run, and against requests that wait for nobody. */
    @Test
    void requestsAreRefusedIfNoVmReachesAServer() throws Exception {
        start();
        for (ScriptedBackendServer s : servers) {
            s.close();
        }
        cutAll(CuttableLink.Cut.RESET);

        EdgeFixture.Reply r = vm.request(EdgeFixture.get("/order/1", "q1", ""));

        assertThat(r.status()).isEqualTo(503);
        assertThat(r.hasHeader("Retry-After")).isTrue();
        assertThat(arrivals("q1")).isZero();
    }

    /** Guards against taking servers behind a cut for crashed, and the requests that were in flight for the cause. */
    @Test
    void requestsInFlightAtTheCutAreNotQuarantined() throws Exception {
        start();
        servers.forEach(s -> s.script(VmWithoutPathsToServersTest::answerMuchLater));
        List<Socket> callers = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            callers.add(vm.caller());
            EdgeFixture.send(callers.get(i), EdgeFixture.post("/order/same", "same-" + i, "body"));
        }
        awaitArrivals(REQUESTS);

        cutAll(CuttableLink.Cut.RESET);
        for (Socket s : callers) {
            EdgeFixture.read(s.getInputStream());
        }

        servers.forEach(s -> s.script(VmWithoutPathsToServersTest::answerLater));
        EdgeFixture.Reply r = vm.request(EdgeFixture.post("/order/same", "same", "body"));
        assertThat(r.status()).isEqualTo(200);
    }

    private static void answerMuchLater(ScriptedBackendServer.Request r, OutputStream out, Socket s)
            throws IOException {
        LockSupport.parkNanos(LONG_WORK.toNanos());
        answerLater(r, out, s);
    }

    private void awaitArrivals(int count) throws InterruptedException {
        while (servers.stream().mapToInt(s -> s.requests().size()).sum() < count) {
            Thread.sleep(1);
        }
    }
}
