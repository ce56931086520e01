package org.lycheetray.core.config;

import io.vavr.control.Either;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lycheetray.core.config.internal.MajorityUtil;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;

/**
 * Plans the table writes by which the leader of a data centre acknowledges versions, accepts them and maintains the
 * list of voters.
 *
 * <p>Safety does not depend on there being only one leader: every write is conditional on row revisions, and an
 * acknowledgement requires that every registered voter has loaded the version.
 */
public final class ConfigLeaderPlanner {
    /** Maximum time by which the platform's VM list may lag behind a registration. */
    public static final Duration MAX_VM_LIST_LAG = Duration.ofSeconds(60);

    private ConfigLeaderPlanner() {}

    /**
     * Plans the writes of one round.
     *
     * @param dataCentre data centre of the leader
     * @param table the rows that were read for this round
     * @param tracker configuration of the leader
     * @param states latest states of the VMs of the data centre, the leader included
     * @return independent writes, each of them one atomic set of changes, or a description of an unreadable row
     */
    public static Either<String, List<List<RowChange>>> planWrites(
            DataCentreName dataCentre,
            ConfigTableSnapshot table,
            ConfigTracker tracker,
            Collection<PeerConfigState> states) {
        return ConfigRows.decodeHead(table.head())
                .flatMap(head -> ConfigRows.decodeVoters(table.voters()).map(voters -> {
                    List<List<RowChange>> writes = new ArrayList<>();
                    acknowledge(dataCentre, head, table, voters, states).ifPresent(writes::add);
                    accept(head, table, tracker).ifPresent(writes::add);
                    removeUnlistedVoters(dataCentre, table, voters).ifPresent(writes::add);
                    return writes;
                }));
    }

    /**
     * Plans the write that registers a process as a voter of its data centre.
     *
     * @param local incarnation of the process
     * @param dataCentre data centre of the process
     * @param row the voter row as read, empty if there is none
     * @param at wall-clock time of the registration
     * @return the write, empty if the process is registered already, or a description of an unreadable row
     */
    public static Either<String, Optional<List<RowChange>>> planRegistration(
            Incarnation local, DataCentreName dataCentre, Optional<Row> row, Instant at) {
        return ConfigRows.decodeVoters(row).map(voters -> {
            if (voters.contains(local)) {
                return Optional.empty();
            }
            return Optional.of(List.of(new RowChange.Put(
                    ConfigRows.votersKey(dataCentre), revision(row), ConfigRows.encode(voters.withVoter(local, at)))));
        });
    }

    private static Optional<List<RowChange>> acknowledge(
            DataCentreName dataCentre,
            ConfigHead head,
            ConfigTableSnapshot table,
            VoterRow voters,
            Collection<PeerConfigState> states) {
        Optional<Row> ackRow = table.acks().stream()
                .filter(r -> r.key().equals(ConfigRows.ackKey(dataCentre)))
                .findFirst();
        boolean acknowledged = ackRow.flatMap(r -> ConfigRows.decodeAck(r).toJavaOptional())
                .filter(a -> a.version().compareTo(head.version()) >= 0)
                .isPresent();
        if (!head.isPending() || acknowledged || !isLoadedByAllVoters(head.version(), voters, states)) {
            return Optional.empty();
        }
        return Optional.of(List.of(
                new RowChange.Put(
                        ConfigRows.ackKey(dataCentre),
                        revision(ackRow),
                        ConfigRows.encode(new AckRow(dataCentre, head.version()))),
                new RowChange.Check(ConfigRows.votersKey(dataCentre), revision(table.voters()))));
    }

    private static boolean isLoadedByAllVoters(
            ConfigVersion version, VoterRow voters, Collection<PeerConfigState> states) {
        return !voters.voters().isEmpty()
                && voters.voters().stream()
                        .map(Voter::incarnation)
                        .allMatch(i -> states.stream()
                                .filter(v -> v.incarnation().equals(i))
                                .anyMatch(v -> v.loaded().compareTo(version) >= 0));
    }

    private static Optional<List<RowChange>> accept(ConfigHead head, ConfigTableSnapshot table, ConfigTracker tracker) {
        Optional<Manifest> accepted = tracker.manifest(head.accepted());
        Optional<Manifest> pending = head.pending().flatMap(tracker::manifest);
        if (accepted.isEmpty() || pending.isEmpty()) {
            return Optional.empty();
        }
        Set<DataCentreName> acknowledged = table.acks().stream()
                .flatMap(r -> ConfigRows.decodeAck(r).toJavaStream())
                .filter(a -> a.version().compareTo(head.version()) >= 0)
                .map(AckRow::dataCentre)
                .collect(Collectors.toUnmodifiableSet());
        boolean hasMajority = MajorityUtil.isMajority(MajorityUtil.votingDataCentres(accepted.get()), acknowledged)
                && MajorityUtil.isMajority(MajorityUtil.votingDataCentres(pending.get()), acknowledged);
        if (!hasMajority) {
            return Optional.empty();
        }
        return Optional.of(List.of(
                new RowChange.Put(ConfigRows.HEAD_KEY, table.head().revision(), ConfigRows.encode(head.toAccepted()))));
    }

    private static Optional<List<RowChange>> removeUnlistedVoters(
            DataCentreName dataCentre, ConfigTableSnapshot table, VoterRow voters) {
        if (table.listing().isEmpty() || table.listing().get().vms().isEmpty()) {
            return Optional.empty();
        }
        ConfigTableSnapshot.Listing listing = table.listing().get();
        Set<VmName> unlisted = voters.voters().stream()
                .filter(v -> !listing.vms().contains(v.incarnation().vm()))
                .filter(v -> v.registeredAt().plus(MAX_VM_LIST_LAG).isBefore(listing.asOf()))
                .map(v -> v.incarnation().vm())
                .collect(Collectors.toUnmodifiableSet());
        if (unlisted.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(List.of(new RowChange.Put(
                ConfigRows.votersKey(dataCentre),
                revision(table.voters()),
                ConfigRows.encode(voters.withoutVms(unlisted::contains)))));
    }

    private static long revision(Optional<Row> row) {
        return row.map(Row::revision).orElse(RowChange.ABSENT);
    }
}
