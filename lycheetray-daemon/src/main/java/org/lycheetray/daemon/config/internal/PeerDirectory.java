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
 * Whom a VM exchanges configuration states with.
 *
 * <p>A lead talks to all of its data centre and to one VM of each other data centre, a different one each time; the other
 * VMs talk to the two first VMs of their data centre. So the number of messages follows the number of data centres, not
 * the square of the fleet.
 */
public final class PeerDirectory {
    private static final Duration HEARD = Duration.ofSeconds(2);
    private static final int LEAD_CANDIDATES = 2;

    private record Heard(PeerConfigState view, Endpoint endpoint, MonotonicTime at) {}

    private final VmName self;
    private final DataCentreName dataCentre;
    private final List<Endpoint> seeds;
    private final Map<VmName, Heard> heard = new HashMap<>();
    private Map<DataCentreName, List<Vm>> declared = Map.of();
    private int turn;

    /**
     * Creates a directory that knows the seeds only.
     *
     * @param self this VM
     * @param dataCentre its data centre
     * @param seeds peers to talk to before there is a configuration
     */
    public PeerDirectory(VmName self, DataCentreName dataCentre, List<Endpoint> seeds) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.seeds = List.copyOf(seeds);
    }

    /**
     * Takes the declared VMs from a manifest.
     *
     * @param manifest the manifest in force
     */
    public void declare(Manifest manifest) {
        declared = manifest.vms().stream()
                .filter(v -> !v.name().equals(self))
                .sorted(Comparator.comparing(Vm::name))
                .collect(Collectors.groupingBy(Vm::dataCentre, TreeMap::new, Collectors.toList()));
    }

    /**
     * Notes an answer.
     *
     * @param view the peer's state
     * @param endpoint where it was reached
     * @param at when
     */
    public void heard(PeerConfigState view, Endpoint endpoint, MonotonicTime at) {
        heard.put(view.incarnation().vm(), new Heard(view, endpoint, at));
    }

    /**
     * Tells whether this VM does its data centre's table work: it is the first by name of those that answer.
     *
     * @param now present time
     * @return true if it should; two VMs may think so at a time
     */
    public boolean isLead(MonotonicTime now) {
        return own().stream().map(Vm::name).filter(v -> v.compareTo(self) < 0).noneMatch(v -> isHeard(v, now));
    }

    /**
     * Chooses whom to probe now.
     *
     * @param everywhere true to reach out to other data centres too
     * @param now present time
     * @return addresses
     */
    public Collection<Endpoint> targets(boolean everywhere, MonotonicTime now) {
        if (declared.isEmpty()) {
            return seeds;
        }
        Set<Endpoint> targets = new LinkedHashSet<>();
        List<Vm> own = own();
        int limit = isLead(now) ? own.size() : Math.min(own.size(), LEAD_CANDIDATES);
        own.subList(0, limit).forEach(v -> targets.add(v.peerEndpoint()));
        if (everywhere) {
            turn++;
            declared.forEach((dc, vms) -> {
                if (!dc.equals(dataCentre)) {
                    targets.add(vms.get(turn % vms.size()).peerEndpoint());
                }
            });
        }
        return targets;
    }

    /**
     * Gives the newest answers of this data centre's VMs.
     *
     * @return their states
     */
    public List<PeerConfigState> views() {
        List<PeerConfigState> views = new ArrayList<>();
        heard.values().stream()
                .map(Heard::view)
                .filter(v -> v.dataCentre().equals(dataCentre))
                .forEach(views::add);
        return views;
    }

    /**
     * Finds a peer's address.
     *
     * @param vm its name
     * @return empty if it is neither declared nor was heard
     */
    public Optional<Endpoint> endpoint(VmName vm) {
        return Optional.ofNullable(heard.get(vm))
                .map(Heard::endpoint)
                .or(() -> declared.values().stream()
                        .flatMap(List::stream)
                        .filter(v -> v.name().equals(vm))
                        .map(Vm::peerEndpoint)
                        .findFirst());
    }

    private List<Vm> own() {
        return declared.getOrDefault(dataCentre, List.of());
    }

    private boolean isHeard(VmName vm, MonotonicTime now) {
        return Optional.ofNullable(heard.get(vm))
                .filter(h -> now.since(h.at).compareTo(HEARD) <= 0)
                .isPresent();
    }
}
