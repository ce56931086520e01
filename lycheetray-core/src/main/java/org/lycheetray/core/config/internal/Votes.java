package org.lycheetray.core.config.internal;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.lycheetray.core.config.PeerView;
import org.lycheetray.core.config.internal.Freshness.Evidence;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Latest answers of peers that may stand for their data centres.
 *
 * <p>An accepted version was acknowledged by a majority of data centres, each after all its voters had loaded it. So one
 * voter from each data centre of any majority together know of it.
 */
public final class Votes {
    private record Vote(PeerView view, MonotonicTime sentAt) {}

    private final Map<DataCentreName, Map<VmName, Vote>> votes = new HashMap<>();

    /**
     * Takes an answer in; one to an earlier probe changes nothing.
     *
     * @param view the answer
     * @param sentAt when the probe was sent
     */
    public void add(PeerView view, MonotonicTime sentAt) {
        VmName vm = view.incarnation().vm();
        votes.computeIfAbsent(view.dataCentre(), _ -> new HashMap<>())
                .merge(vm, new Vote(view, sentAt), (a, b) -> a.sentAt.isBefore(b.sentAt) ? b : a);
    }

    /**
     * Evaluates the answers.
     *
     * @param all data centres that count
     * @param fingerprint fingerprint of these data centres, which each voter must share
     * @param own this VM's data centre if it may stand for it
     * @param loaded newest version loaded here
     * @param now present time
     * @return evidence, empty without a majority
     */
    public Optional<Evidence> evaluate(
            Set<DataCentreName> all,
            int fingerprint,
            Optional<DataCentreName> own,
            ConfigVersion loaded,
            MonotonicTime now) {
        Optional<MonotonicTime> since = MajorityUtil.heardSince(
                all, d -> own.filter(d::equals).isPresent() ? Optional.of(now) : latest(d, fingerprint));
        ConfigVersion others = all.stream()
                .flatMap(d -> of(d, fingerprint))
                .map(v -> v.view.loaded())
                .max(Comparator.naturalOrder())
                .orElse(ConfigVersion.NONE);
        ConfigVersion bound = own.isPresent() && loaded.compareTo(others) > 0 ? loaded : others;
        return since.map(at -> new Evidence(bound, at));
    }

    private Optional<MonotonicTime> latest(DataCentreName dataCentre, int fingerprint) {
        return of(dataCentre, fingerprint).map(Vote::sentAt).max(Comparator.naturalOrder());
    }

    private Stream<Vote> of(DataCentreName dataCentre, int fingerprint) {
        return votes.getOrDefault(dataCentre, Map.of()).values().stream()
                .filter(v -> v.view.isVoter())
                .filter(v -> v.view.dataCentres() == fingerprint);
    }
}
