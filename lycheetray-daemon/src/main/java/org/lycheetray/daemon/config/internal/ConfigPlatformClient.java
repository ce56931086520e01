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

/** Reads and writes the configuration data that the platform stores. */
public final class ConfigPlatformClient {
    private final PlatformClient platform;
    private final Incarnation localIncarnation;
    private final DataCentreName dataCentre;
    private final ConfigClient client;

    /**
     * Creates the client.
     *
     * @param platform client of the platform
     * @param localIncarnation incarnation of this process
     * @param dataCentre data centre of this process
     */
    public ConfigPlatformClient(PlatformClient platform, Incarnation localIncarnation, DataCentreName dataCentre) {
        this.platform = platform;
        this.localIncarnation = localIncarnation;
        this.dataCentre = dataCentre;
        this.client = new ConfigClient(platform.tables(), platform.objects());
    }

    /**
     * Reads the head of the configuration.
     *
     * @return the head, or empty before the first submission
     */
    public Mono<Optional<ConfigHead>> readHead() {
        return client.readHead();
    }

    /**
     * Reads a manifest from the object store.
     *
     * @param ref version and digest of the manifest
     * @return the content of the object, or an empty Mono if there is no such object
     */
    public Mono<byte[]> fetchManifest(ConfigRef ref) {
        return platform.objects().get(ref.objectName()).flatMap(Mono::justOrEmpty);
    }

    /**
     * Registers this process as a voter of its data centre.
     *
     * @param at wall-clock time of the registration
     * @return true if the table lists this process already, false after a write that a later call must confirm
     */
    public Mono<Boolean> register(Instant at) {
        return platform.tables()
                .read(ConfigRows.votersKey(dataCentre))
                .flatMap(row -> ConfigLeaderPlanner.planRegistration(localIncarnation, dataCentre, row, at)
                        .fold(
                                problem -> Mono.error(new IllegalStateException(problem)),
                                write -> write.map(
                                                w -> platform.tables().write(w).map(_ -> false))
                                        .orElse(Mono.just(true))));
    }

    /**
     * Runs one round of the lead's configuration tasks: reads the tables, plans writes and carries them out.
     *
     * @param withListing whether to read the list of VMs too, to find voters that no longer exist
     * @param planWrites plans the writes; runs on the control thread
     * @return completes when all writes were attempted
     */
    public Mono<Void> runLeadRound(
            boolean withListing, Function<ConfigTableSnapshot, Mono<List<List<RowChange>>>> planWrites) {
        Mono<Optional<ConfigTableSnapshot.Listing>> listing =
                withListing ? platform.vms().current().map(l -> Optional.of(convert(l))) : Mono.just(Optional.empty());
        Mono<Optional<Row>> voters = platform.tables().read(ConfigRows.votersKey(dataCentre));
        Mono<List<Row>> acks = platform.tables().scanAll(ConfigRows.ACK_PREFIX).collectList();
        return Mono.zip(listing, voters, acks)
                .flatMap(t -> platform.tables()
                        .read(ConfigRows.HEAD_KEY)
                        .flatMap(head -> Mono.justOrEmpty(
                                head.map(h -> new ConfigTableSnapshot(h, t.getT2(), t.getT3(), t.getT1())))))
                .flatMap(planWrites)
                .flatMapMany(Flux::fromIterable)
                .concatMap(w -> platform.tables().write(w))
                .doOnNext(
                        r -> LogEvent.of("config-lead-write").with("result", r).debug())
                .then();
    }

    /**
     * Returns the row keys of a write as text for the log.
     *
     * @param write the write
     * @return the keys, separated by commas
     */
    public static String joinKeys(Collection<RowChange> write) {
        return write.stream().map(c -> c.key().value()).collect(Collectors.joining(","));
    }

    private static ConfigTableSnapshot.Listing convert(VmListing l) {
        return new ConfigTableSnapshot.Listing(
                l.asOf(), l.vms().stream().map(VmListing.ListedVm::name).collect(Collectors.toSet()));
    }
}
