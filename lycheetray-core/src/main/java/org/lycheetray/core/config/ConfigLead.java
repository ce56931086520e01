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
 * What a data centre's lead writes: acknowledgements, acceptance, and who its voters are.
 *
 * <p>Safety does not depend on there being one lead: every write is conditional, and an acknowledgement needs the
 * confirmation of every registered voter.
 */
public final class ConfigLead {
    /** Time for which the platform's list may lag behind a registration. */
    public static final Duration LIST_LAG = Duration.ofSeconds(60);

    private ConfigLead() {}

    /**
     * Decides on the writes of one round.
     *
     * @param dataCentre the lead's data centre
     * @param table what was read
     * @param keeper the lead's own configuration
     * @param views newest answers of the data centre's VMs, the lead's own among them
     * @return writes, each to be done on its own and none depending on another, or what is wrong with the table
     */
    public static Either<String, List<List<RowChange>>> decide(
            DataCentreName dataCentre, ConfigTable table, ConfigKeeper keeper, Collection<PeerView> views) {
        return ConfigRows.decodeHead(table.head())
                .flatMap(head -> ConfigRows.decodeVoters(table.voters()).map(voters -> {
                    List<List<RowChange>> writes = new ArrayList<>();
                    acknowledge(dataCentre, head, table, voters, views).ifPresent(writes::add);
                    accept(head, table, keeper).ifPresent(writes::add);
                    removeGone(dataCentre, table, voters).ifPresent(writes::add);
                    return writes;
                }));
    }

    /**
     * Decides how a VM that has started registers.
     *
     * @param self the process
     * @param dataCentre its data centre
     * @param row the row of its data centre's voters as read, empty if there is none
     * @param at wall-clock time
     * @return the write, empty if the process is registered, or what is wrong with the row
     */
    public static Either<String, Optional<List<RowChange>>> register(
            Incarnation self, DataCentreName dataCentre, Optional<Row> row, Instant at) {
        return ConfigRows.decodeVoters(row).map(voters -> {
            if (voters.contains(self)) {
                return Optional.empty();
            }
            return Optional.of(List.of(new RowChange.Put(
                    ConfigRows.voters(dataCentre), revision(row), ConfigRows.encode(voters.with(self, at)))));
        });
    }

    private static Optional<List<RowChange>> acknowledge(
            DataCentreName dataCentre,
            ConfigHead head,
            ConfigTable table,
            VoterRow voters,
            Collection<PeerView> views) {
        Optional<Row> own = table.acks().stream()
                .filter(r -> r.key().equals(ConfigRows.ack(dataCentre)))
                .findFirst();
        boolean done = own.flatMap(r -> ConfigRows.decodeAck(r).toJavaOptional())
                .filter(a -> a.version().compareTo(head.version()) >= 0)
                .isPresent();
        if (!head.isPending() || done || !allLoaded(head.version(), voters, views)) {
            return Optional.empty();
        }
        return Optional.of(List.of(
                new RowChange.Put(
                        ConfigRows.ack(dataCentre),
                        revision(own),
                        ConfigRows.encode(new AckRow(dataCentre, head.version()))),
                new RowChange.Check(ConfigRows.voters(dataCentre), revision(table.voters()))));
    }

    private static boolean allLoaded(ConfigVersion version, VoterRow voters, Collection<PeerView> views) {
        return !voters.voters().isEmpty()
                && voters.voters().stream()
                        .map(Voter::incarnation)
                        .allMatch(i -> views.stream()
                                .filter(v -> v.incarnation().equals(i))
                                .anyMatch(v -> v.loaded().compareTo(version) >= 0));
    }

    private static Optional<List<RowChange>> accept(ConfigHead head, ConfigTable table, ConfigKeeper keeper) {
        Optional<Manifest> accepted = keeper.manifest(head.accepted());
        Optional<Manifest> pending = head.pending().flatMap(keeper::manifest);
        if (accepted.isEmpty() || pending.isEmpty()) {
            return Optional.empty();
        }
        Set<DataCentreName> acknowledged = table.acks().stream()
                .flatMap(r -> ConfigRows.decodeAck(r).toJavaStream())
                .filter(a -> a.version().compareTo(head.version()) >= 0)
                .map(AckRow::dataCentre)
                .collect(Collectors.toUnmodifiableSet());
        boolean enough = MajorityUtil.isMajority(MajorityUtil.voting(accepted.get()), acknowledged)
                && MajorityUtil.isMajority(MajorityUtil.voting(pending.get()), acknowledged);
        if (!enough) {
            return Optional.empty();
        }
        return Optional.of(List.of(
                new RowChange.Put(ConfigRows.HEAD, table.head().revision(), ConfigRows.encode(head.toAccepted()))));
    }

    private static Optional<List<RowChange>> removeGone(DataCentreName dataCentre, ConfigTable table, VoterRow voters) {
        if (table.listing().isEmpty() || table.listing().get().vms().isEmpty()) {
            return Optional.empty();
        }
        ConfigTable.Listing listing = table.listing().get();
        Set<VmName> gone = voters.voters().stream()
                .filter(v -> !listing.vms().contains(v.incarnation().vm()))
                .filter(v -> v.registeredAt().plus(LIST_LAG).isBefore(listing.asOf()))
                .map(v -> v.incarnation().vm())
                .collect(Collectors.toUnmodifiableSet());
        if (gone.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(List.of(new RowChange.Put(
                ConfigRows.voters(dataCentre),
                revision(table.voters()),
                ConfigRows.encode(voters.without(gone::contains)))));
    }

    private static long revision(Optional<Row> row) {
        return row.map(Row::revision).orElse(RowChange.ABSENT);
    }
}
