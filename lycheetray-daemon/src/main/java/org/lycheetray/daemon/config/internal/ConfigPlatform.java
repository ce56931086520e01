package org.lycheetray.daemon.config.internal;

import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.config.ConfigLeaderPlanner;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.ConfigRows;
import org.lycheetray.core.config.ConfigTableSnapshot;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.config.ConfigClient;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** The configuration's calls to the platform. */
public final class ConfigPlatform {
    private final PlatformClient platform;
    private final Incarnation self;
    private final DataCentreName dataCentre;
    private final ConfigClient client;

    /**
     * Creates the calls.
     *
     * @param platform the platform
     * @param self this process
     * @param dataCentre its data centre
     */
    public ConfigPlatform(PlatformClient platform, Incarnation self, DataCentreName dataCentre) {
        this.platform = platform;
        this.self = self;
        this.dataCentre = dataCentre;
        this.client = new ConfigClient(platform.tables(), platform.objects());
    }

    /**
     * Reads the head.
     *
     * @return empty before the first submission
     */
    public Mono<Optional<ConfigHead>> head() {
        return client.head();
    }

    /**
     * Reads a manifest's object.
     *
     * @param ref the version
     * @return its bytes, or nothing if there is no such object
     */
    public Mono<byte[]> fetch(ConfigRef ref) {
        return platform.objects().get(ref.objectName()).flatMap(Mono::justOrEmpty);
    }

    /**
     * Registers this process among its data centre's voters.
     *
     * @param at wall-clock time
     * @return true once the table is known to list it
     */
    public Mono<Boolean> register(Instant at) {
        return platform.tables()
                .read(ConfigRows.votersKey(dataCentre))
                .flatMap(row -> ConfigLeaderPlanner.planRegistration(self, dataCentre, row, at)
                        .fold(
                                problem -> Mono.error(new IllegalStateException(problem)),
                                write -> write.map(
                                                w -> platform.tables().write(w).map(_ -> false))
                                        .orElse(Mono.just(true))));
    }

    /**
     * Does one round of a lead's work.
     *
     * @param withListing true to look for voters that are gone
     * @param decide decides on writes, on the control thread
     * @return completes when all writes were tried
     */
    public Mono<Void> lead(boolean withListing, Function<ConfigTableSnapshot, Mono<List<List<RowChange>>>> decide) {
        Mono<Optional<ConfigTableSnapshot.Listing>> listing =
                withListing ? platform.vms().current().map(l -> Optional.of(convert(l))) : Mono.just(Optional.empty());
        Mono<Optional<Row>> voters = platform.tables().read(ConfigRows.votersKey(dataCentre));
        Mono<List<Row>> acks = platform.tables().scanAll(ConfigRows.ACK_PREFIX).collectList();
        return Mono.zip(listing, voters, acks)
                .flatMap(t -> platform.tables()
                        .read(ConfigRows.HEAD_KEY)
                        .flatMap(head -> Mono.justOrEmpty(
                                head.map(h -> new ConfigTableSnapshot(h, t.getT2(), t.getT3(), t.getT1())))))
                .flatMap(decide)
                .flatMapMany(Flux::fromIterable)
                .concatMap(w -> platform.tables().write(w))
                .doOnNext(
                        r -> LogEvent.of("config-lead-write").with("result", r).debug())
                .then();
    }

    /**
     * Names the keys of a write for the log.
     *
     * @param write the write
     * @return the keys
     */
    public static String describe(Collection<RowChange> write) {
        return write.stream().map(c -> c.key().value()).collect(Collectors.joining(","));
    }

    private static ConfigTableSnapshot.Listing convert(VmListing l) {
        return new ConfigTableSnapshot.Listing(
                l.asOf(), l.vms().stream().map(VmListing.ListedVm::name).collect(Collectors.toSet()));
    }
}
