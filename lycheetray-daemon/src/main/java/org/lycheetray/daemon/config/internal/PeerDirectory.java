package org.lycheetray.daemon.config.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.lycheetray.core.config.PeerConfigState;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Selects the peers that this VM exchanges configuration states with.
 *
 * <p>The lead probes all VMs of its data centre and one VM of each other data centre, taking them in turn; the other
 * VMs probe the first two VMs of their data centre. So the number of messages grows with the number of data centres,
 * not with the square of the number of VMs.
 */
public final class PeerDirectory {
    private static final Duration ANSWER_VALIDITY = Duration.ofSeconds(2);
    private static final int LEAD_CANDIDATES = 2;

    private record PeerAnswer(PeerConfigState state, Endpoint endpoint, MonotonicTime at) {}

    private final VmName localVm;
    private final DataCentreName dataCentre;
    private final List<Endpoint> seeds;
    private final Map<VmName, PeerAnswer> latestAnswers = new HashMap<>();
    private Map<DataCentreName, List<Vm>> declared = Map.of();
    private int probeRound;

    /**
     * Creates a directory that contains the seeds only.
     *
     * @param localVm name of this VM
     * @param dataCentre data centre of this VM
     * @param seeds addresses of peers to probe until VMs are declared
     */
    public PeerDirectory(VmName localVm, DataCentreName dataCentre, List<Endpoint> seeds) {
        this.localVm = localVm;
        this.dataCentre = dataCentre;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Updates the declared VMs from a manifest.
     *
     * @param manifest the manifest in force
     */
    public void updateDeclaredVms(Manifest manifest) {
        declared = manifest.vms().stream()
                .filter(v -> !v.name().equals(localVm))
                .sorted(Comparator.comparing(Vm::name))
                .collect(Collectors.groupingBy(Vm::dataCentre, TreeMap::new, Collectors.toList()));
    }

    /**
     * Records a peer's answer to a probe.
     *
     * @param state state of the peer
     * @param endpoint address of the peer
     * @param at time of the answer
     */
    public void recordAnswer(PeerConfigState state, Endpoint endpoint, MonotonicTime at) {
        latestAnswers.put(state.incarnation().vm(), new PeerAnswer(state, endpoint, at));
    }

    /**
     * Returns whether this VM is the configuration lead of its data centre: the first by name of the VMs that answer
     * probes.
     *
     * @param now present time
     * @return whether this VM is the lead; may be true on two VMs at the same time
     */
    public boolean isLead(MonotonicTime now) {
        return localPeers().stream()
                .map(Vm::name)
                .filter(v -> v.compareTo(localVm) < 0)
                .noneMatch(v -> hasAnsweredRecently(v, now));
    }

    /**
     * Returns the peers to probe now.
     *
     * @param allDataCentres whether to include one VM of each other data centre
     * @param now present time
     * @return addresses of the peers
     */
    public Collection<Endpoint> probeTargets(boolean allDataCentres, MonotonicTime now) {
        if (declared.isEmpty()) {
            return seeds;
        }
        Set<Endpoint> targets = new LinkedHashSet<>();
        List<Vm> peers = localPeers();
        int limit = isLead(now) ? peers.size() : Math.min(peers.size(), LEAD_CANDIDATES);
        peers.subList(0, limit).forEach(v -> targets.add(v.peerEndpoint()));
        if (allDataCentres) {
            probeRound++;
            declared.forEach((dc, vms) -> {
                if (!dc.equals(dataCentre)) {
                    targets.add(vms.get(probeRound % vms.size()).peerEndpoint());
                }
            });
        }
        return targets;
    }

    /**
     * Returns the latest states of the other VMs of this data centre.
     *
     * @return the states
     */
    public List<PeerConfigState> localPeerStates() {
        List<PeerConfigState> states = new ArrayList<>();
        latestAnswers.values().stream()
                .map(PeerAnswer::state)
                .filter(v -> v.dataCentre().equals(dataCentre))
                .forEach(states::add);
        return states;
    }

    /**
     * Returns the address of a peer.
     *
     * @param vm name of the peer
     * @return the address, or empty if the peer is not declared and has never answered
     */
    public Optional<Endpoint> endpoint(VmName vm) {
        return Optional.ofNullable(latestAnswers.get(vm))
                .map(PeerAnswer::endpoint)
                .or(() -> declared.values().stream()
                        .flatMap(List::stream)
                        .filter(v -> v.name().equals(vm))
                        .map(Vm::peerEndpoint)
                        .findFirst());
    }

    private List<Vm> localPeers() {
        return declared.getOrDefault(dataCentre, List.of());
    }

    private boolean hasAnsweredRecently(VmName vm, MonotonicTime now) {
        return Optional.ofNullable(latestAnswers.get(vm))
                .filter(h -> now.since(h.at).compareTo(ANSWER_VALIDITY) <= 0)
                .isPresent();
    }
}
