package org.lycheetray.core.traffic;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.ServiceName;

class TrafficConfigTest {
    private final TrafficConfig config = new TrafficConfig(
            new ConfigVersion(1),
            List.of(route("short", "/a/"), route("long", "/a/b/")),
            List.of(),
            ClientLimits.INITIAL,
            Optional.empty());

    private static TrafficRoute route(String name, String prefix) {
        return new TrafficRoute(
                name,
                "host.example",
                prefix,
                List.of(new WeightedService(new ServiceName("svc"), 1)),
                RetrySafety.REPEATABLE,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                1,
                0,
                false,
                false,
                Set.of());
    }

    @Test
    void longestPrefixWins() {
        assertThat(config.route("host.example", "/a/b/c"))
                .map(TrafficRoute::name)
                .contains("long");
        assertThat(config.route("host.example", "/a/bc"))
                .map(TrafficRoute::name)
                .contains("short");
    }

    @Test
    void hostMatchIgnoresPortAndCase() {
        assertThat(config.route("HOST.example:8080", "/a/x")).isPresent();
        assertThat(config.route("other.example", "/a/x")).isEmpty();
        assertThat(config.route("", "/a/x")).isEmpty();
    }
}
