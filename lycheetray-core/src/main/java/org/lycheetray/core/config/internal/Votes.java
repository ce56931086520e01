package org.lycheetray.core.config.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.lycheetray.core.config.PeerConfigState;
import org.lycheetray.core.config.internal.FreshnessTracker.Evidence;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Latest probe answers of peers, by which a majority of data centres confirms the newest accepted version.
 *
 * <p>A version is accepted after a majority of data centres has acknowledged it, each after all its voters had loaded
 * it. Two majorities share a data centre, so one voter from each data centre of any majority suffices to learn of every
 * accepted version.
 */
public final class Votes {
    private record Vote(PeerConfigState state, MonotonicTime sentAt) {}

    private final Map<DataCentreName, Map<VmName, Vote>> votes = new HashMap<>();

    /**
     * Adds a probe answer; an answer to an earlier probe than the recorded one is ignored.
     *
     * @param state the answer
     * @param sentAt time at which the probe was sent
     */
    public void add(PeerConfigState state, MonotonicTime sentAt) {
        VmName vm = state.incarnation().vm();
        votes.computeIfAbsent(state.dataCentre(), _ -> new HashMap<>())
                .merge(vm, new Vote(state, sentAt), (a, b) -> a.sentAt.isBefore(b.sentAt) ? b : a);
    }

    /**
     * Returns the evidence that the recorded answers give.
     *
     * @param all all voting data centres
     * @param fingerprint fingerprint of these data centres; answers with another fingerprint are ignored
     * @param localVote data centre of the local VM, empty if the VM may not vote
     * @param loaded newest version loaded by the local VM
     * @param now current time
     * @return the evidence, empty without a majority
     */
    public Optional<Evidence> evaluate(
            Set<DataCentreName> all,
            int fingerprint,
            Optional<DataCentreName> localVote,
            ConfigVersion loaded,
            MonotonicTime now) {
        Optional<MonotonicTime> since = MajorityUtil.majorityHeardSince(
                all, d -> localVote.filter(d::equals).isPresent() ? Optional.of(now) : latestVoteAt(d, fingerprint));
        ConfigVersion newestOfPeers = all.stream()
                .flatMap(d -> eligibleVotes(d, fingerprint))
                .map(v -> v.state.loaded())
                .max(Comparator.naturalOrder())
                .orElse(ConfigVersion.NONE);
        ConfigVersion bound = localVote.isPresent() && loaded.compareTo(newestOfPeers) > 0 ? loaded : newestOfPeers;
        return since.map(at -> new Evidence(bound, at));
    }

    private Optional<MonotonicTime> latestVoteAt(DataCentreName dataCentre, int fingerprint) {
        return eligibleVotes(dataCentre, fingerprint).map(Vote::sentAt).max(Comparator.naturalOrder());
    }

    private Stream<Vote> eligibleVotes(DataCentreName dataCentre, int fingerprint) {
        return votes.getOrDefault(dataCentre, Map.of()).values().stream()
                .filter(v -> v.state.isVoter())
                .filter(v -> v.state.dataCentresFingerprint() == fingerprint);
    }
}
