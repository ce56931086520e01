package org.lycheetray.daemon.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import org.lycheetray.core.manifest.ManifestReader;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.control.ControlThread;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.platform.PlatformClient;
import reactor.core.Disposable;
import reactor.core.publisher.Mono;

/** Learns configurations by polling the table service; a lower version than the present one is never taken. */
public final class ConfigPoller implements ConfigView, AutoCloseable {
    private static final RowKey HEAD = new RowKey("config/head");
    private static final Duration PERIOD = Duration.ofMillis(500);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final PlatformClient platform;
    private final Clock clock;
    private final Disposable polling;
    private final AtomicBoolean busy = new AtomicBoolean();
    private volatile ActiveConfig active;
    private volatile MonotonicTime lastRead;

    /**
     * Starts to poll.
     *
     * @param platform the platform
     * @param control runs the polls
     * @param clock clock for freshness
     */
    public ConfigPoller(PlatformClient platform, ControlThread control, Clock clock) {
        this.platform = platform;
        this.clock = clock;
        this.polling = control.every("poll-config", PERIOD, this::poll);
    }

    @Override
    public Optional<ActiveConfig> active() {
        return Optional.ofNullable(active);
    }

    @Override
    public Optional<ClientAccountName> account(KeyHash hash) {
        return active().flatMap(c -> c.account(hash));
    }

    @Override
    public boolean serves(RouteClass routeClass) {
        ActiveConfig c = active;
        MonotonicTime read = lastRead;
        if (c == null || read == null) {
            return false;
        }
        Duration limit = c.manifest().policy().keyFreshnessLimit().plus(PERIOD.multipliedBy(4));
        return clock.monotonic().since(read).compareTo(limit) <= 0;
    }

    private void poll() {
        if (!busy.compareAndSet(false, true)) {
            return;
        }
        MonotonicTime asked = clock.monotonic();
        platform.tables()
                .read(HEAD)
                .flatMap(this::load)
                .doOnSuccess(ignored -> lastRead = asked)
                .doFinally(signal -> busy.set(false))
                .subscribe(ignored -> {}, ConfigPoller::failed);
    }

    private Mono<Void> load(Optional<Row> head) {
        if (head.isEmpty()) {
            return Mono.empty();
        }
        JsonNode node = parse(head.get().value());
        ConfigVersion version = new ConfigVersion(node.path("version").asLong());
        if (active != null && version.compareTo(active.version()) <= 0) {
            return Mono.empty();
        }
        String name = "config/" + version + "-" + node.path("digest").asText();
        return platform.objects()
                .get(name)
                .doOnNext(o -> o.ifPresent(json -> take(version, json)))
                .then();
    }

    private void take(ConfigVersion version, byte[] json) {
        ManifestReader.read(json)
                .peek(manifest -> {
                    active = new ActiveConfig(version, manifest);
                    LogEvent.of("config-in-force").with("version", version).info();
                })
                .peekLeft(errors -> LogEvent.of("config-unreadable")
                        .with("version", version)
                        .with("cause", errors.getFirst())
                        .error());
    }

    private static JsonNode parse(String json) {
        try {
            return JSON.readTree(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("config/head is not JSON", e);
        }
    }

    private static void failed(Throwable e) {
        LogEvent.of("config-poll-failed")
                .with("step", "read-head")
                .with("cause", e)
                .warn();
    }

    @Override
    public void close() {
        polling.dispose();
    }
}
