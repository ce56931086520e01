package org.lycheetray.daemon.running;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.ServiceName;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;
import reactor.netty.tcp.TcpServer;

class HealthProbeTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final HealthProbe probe = new HealthProbe();

    @AfterEach
    void close() {
        probe.close();
    }

    @Test
    void serverThatAnswersDoesNotRefuseConnections() {
        DisposableServer running = HttpServer.create()
                .bindAddress(() -> ANY_PORT)
                .handle((q, p) -> p.status(503).send())
                .bindNow();
        assertThat(refuses(running)).isFalse();
        running.disposeNow();
    }

    @Test
    void stoppedServerRefusesConnections() {
        DisposableServer stopped =
                HttpServer.create().bindAddress(() -> ANY_PORT).bindNow();
        stopped.disposeNow();
        assertThat(refuses(stopped)).isTrue();
    }

    @Test
    void serverThatDropsConnectionsCountsAsRefusing() {
        DisposableServer dropping = TcpServer.create()
                .bindAddress(() -> ANY_PORT)
                .doOnConnection(c -> c.dispose())
                .bindNow();
        assertThat(refuses(dropping)).isTrue();
        dropping.disposeNow();
    }

    private boolean refuses(DisposableServer server) {
        BackendServer b = new BackendServer(
                new BackendServerName("b0"),
                new ServiceName("orders"),
                new DataCentreName("dc"),
                new Endpoint("127.0.0.1", server.port()),
                1,
                1);
        return Boolean.TRUE.equals(probe.refusesConnections(b).block());
    }
}
