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

/**
 * Polls the configuration head until a submitted version is accepted or superseded, or the timeout passes, and prints
 * a progress line. Polling continues while the platform is unreachable.
 */
final class AcceptancePoller {
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    /** State of the submitted version when polling ended. */
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

    AcceptancePoller(CommandContext context, ConfigClient client, Duration timeout) {
        this.context = context;
        this.client = client;
        this.timeout = timeout;
    }

    /** Blocks until the version is no longer pending or the timeout has passed. */
    Result await(ConfigVersion version) {
        MonotonicTime start = context.clock().monotonic();
        while (true) {
            Result result = poll(version);
            Duration waited = context.clock().monotonic().since(start);
            if (result != Result.PENDING || waited.compareTo(timeout) >= 0) {
                context.err().println();
                return result;
            }
            context.err()
                    .printf(
                            "\rversion %s is pending, waiting for acceptance by the data centres: %d s",
                            version, waited.toSeconds());
            Mono.delay(POLL_INTERVAL).block();
        }
    }

    private Result poll(ConfigVersion version) {
        try {
            return client.readHead().block().map(h -> classify(h, version)).orElse(Result.PENDING);
        } catch (PlatformException e) {
            return Result.PENDING;
        }
    }

    /** Returns the state of a version; it also counts as accepted if a later version is accepted. */
    private static Result classify(ConfigHead head, ConfigVersion version) {
        if (head.accepted().version().compareTo(version) >= 0) {
            return Result.ACCEPTED;
        }
        Optional<ConfigVersion> pending = head.pending().map(r -> r.version());
        return pending.filter(version::equals).isPresent() ? Result.PENDING : Result.SUPERSEDED;
    }
}
