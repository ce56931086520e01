package org.lycheetray.cli.internal;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.config.ConfigClient;
import reactor.core.publisher.Mono;

/** Polls the head until a version is accepted, with a progress line; goes on through outages of the platform. */
final class AcceptanceWait {
    private static final Duration PERIOD = Duration.ofMillis(200);

    /** How the wait ended. */
    enum Result {
        ACCEPTED,
        PENDING,
        SUPERSEDED;

        String label() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    private final CommandContext context;
    private final ConfigClient client;
    private final Duration timeout;

    AcceptanceWait(CommandContext context, ConfigClient client, Duration timeout) {
        this.context = context;
        this.client = client;
        this.timeout = timeout;
    }

    Result await(ConfigVersion version) {
        MonotonicTime start = context.clock().monotonic();
        while (true) {
            Result result = look(version);
            Duration waited = context.clock().monotonic().since(start);
            if (result != Result.PENDING || waited.compareTo(timeout) >= 0) {
                context.err().println();
                return result;
            }
            context.err()
                    .printf("\rversion %s is pending, waiting for data centres: %d s", version, waited.toSeconds());
            Mono.delay(PERIOD).block();
        }
    }

    private Result look(ConfigVersion version) {
        try {
            return client.head().block().map(h -> judge(h, version)).orElse(Result.PENDING);
        } catch (PlatformException e) {
            return Result.PENDING;
        }
    }

    private static Result judge(ConfigHead head, ConfigVersion version) {
        if (head.accepted().version().compareTo(version) >= 0) {
            return Result.ACCEPTED;
        }
        Optional<ConfigVersion> pending = head.pending().map(r -> r.version());
        return pending.filter(version::equals).isPresent() ? Result.PENDING : Result.SUPERSEDED;
    }
}
