package org.lycheetray.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
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
import org.lycheetray.core.time.MonotonicTime;

class BackendHealthTest {
    private static final ServiceName ORDERS = new ServiceName("orders");
    private static final int SLOTS = 3;
    private static final Duration COLD_START = Duration.ofSeconds(10);
    private static final HealthReport UNHEALTHY = new HealthReport(false, false);

    private final BackendHealth health = new BackendHealth(HealthSettings.DEFAULT);
    private MonotonicTime now = MonotonicTime.ZERO;

    @BeforeEach
    void declareFourServers() {
        health.applyManifest(manifest(4), now);
    }

    @Test
    void ejectsAfterFailuresAndReadmitsWithOneSlot() {
        ejectByFailures("b0");
        assertThat(names()).containsExactly("b1", "b2", "b3");
        now = now.plus(HealthSettings.DEFAULT.firstEjection());
        assertThat(usable("b0").slots()).isEqualTo(1);
        health.recordEvidence(name("b0"), Evidence.ANSWERED, now);
        assertThat(usable("b0").state()).isEqualTo(ServerState.SLOW_START);
        now = now.plus(COLD_START);
        assertThat(usable("b0").slots()).isEqualTo(SLOTS);
    }

    @Test
    void neverEjectsMoreThanTheMaximumShare() {
        IntStream.range(0, 4).forEach(i -> ejectByFailures("b" + i));
        assertThat(names()).hasSize(2);
    }

    @Test
    void anAnswerTakesPrecedenceOverAnUnhealthyReport() {
        health.recordEvidence(name("b0"), Evidence.ANSWERED, now);
        health.applyReport(name("b0"), UNHEALTHY, now);
        assertThat(names()).contains("b0");
    }

    @Test
    void anUnhealthyReportCountsWithoutOtherEvidence() {
        health.applyReport(name("b0"), UNHEALTHY, now);
        assertThat(names()).doesNotContain("b0");
        now = now.plus(HealthSettings.DEFAULT.maxReportAge());
        assertThat(names()).contains("b0");
    }

    @Test
    void aHealthyReportDoesNotReadmit() {
        ejectByFailures("b0");
        health.applyReport(name("b0"), new HealthReport(true, false), now);
        assertThat(names()).doesNotContain("b0");
    }

    @Test
    void aLeavingServerReceivesNoRequestsEvenIfAllOthersFail() {
        health.applyReport(name("b0"), new HealthReport(true, true), now);
        health.setDrained(Set.of(name("b1")), now);
        ejectByFailures("b2");
        ejectByFailures("b3");
        assertThat(names()).hasSize(1).doesNotContain("b0", "b1");
    }

    @Test
    void doesNotUseAServerThatShedARequest() {
        health.recordShed(name("b0"), Duration.ofSeconds(1), now);
        assertThat(names()).doesNotContain("b0");
        now = now.plus(Duration.ofSeconds(1));
        assertThat(usable("b0").state()).isEqualTo(ServerState.IN_USE);
    }

    @Test
    void aServerThatIsDeclaredLaterGoesThroughSlowStart() {
        health.applyManifest(manifest(5), now);
        assertThat(usable("b4").slots()).isEqualTo(1);
        assertThat(usable("b0").slots()).isEqualTo(SLOTS);
    }

    private void ejectByFailures(String server) {
        health.recordEvidence(name(server), Evidence.CONNECT_FAILED, now);
        health.recordEvidence(name(server), Evidence.CONNECT_FAILED, now);
    }

    private List<String> names() {
        return health.usableServers(ORDERS, now).stream()
                .map(u -> u.server().name().value())
                .toList();
    }

    private UsableServer usable(String server) {
        return health.usableServers(ORDERS, now).stream()
                .filter(u -> u.server().name().equals(name(server)))
                .findFirst()
                .orElseThrow();
    }

    private static BackendServerName name(String server) {
        return new BackendServerName(server);
    }

    private static Manifest manifest(int servers) {
        Service service =
                new Service(ORDERS, new ShiftCap(1, Duration.ofSeconds(10)), Duration.ofSeconds(5), COLD_START, 10);
        List<BackendServer> backendServers = IntStream.range(0, servers)
                .mapToObj(i -> new BackendServer(
                        name("b" + i), ORDERS, new DataCentreName("dc"), new Endpoint("127.0.0.1", 1000 + i), SLOTS, 9))
                .toList();
        Policy policy = new Policy(Duration.ZERO, Duration.ZERO, Duration.ZERO, Duration.ZERO, 0);
        return new Manifest(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(service),
                backendServers,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                policy);
    }
}
