package org.lycheetray.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.config.internal.Freshness;
import org.lycheetray.core.config.internal.Freshness.Evidence;
import org.lycheetray.core.config.internal.MajorityUtil;
import org.lycheetray.core.config.internal.Votes;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The configuration of one VM: what is loaded, what is in force, and how fresh that is.
 *
 * <p>Versions only grow: a head, a peer or a manifest that speaks of an older version changes nothing. A VM that has
 * just started knows nothing and trusts no key until the table or a majority of data centres has told it where the
 * fleet is. Used by one thread.
 */
public final class ConfigKeeper {
    /** Age up to which evidence counts as fresh. */
    public static final Duration FRESH_WINDOW = Duration.ofSeconds(3);

    private final Incarnation self;
    private final DataCentreName dataCentre;
    private final Freshness freshness = new Freshness();
    private final Votes votes = new Votes();
    private Optional<LoadedConfig> accepted = Optional.empty();
    private Optional<LoadedConfig> pending = Optional.empty();
    private Optional<ConfigRef> wantedAccepted = Optional.empty();
    private Optional<ConfigRef> wantedPending = Optional.empty();
    private Optional<ConfigRef> fetching = Optional.empty();
    private Optional<VmName> holder = Optional.empty();
    private Optional<MonotonicTime> registeredAt = Optional.empty();
    private ConfigVersion changesDataCentres = ConfigVersion.NONE;
    private Optional<ConfigVersion> votesFrom = Optional.empty();

    /**
     * Creates the state of a VM that knows nothing yet.
     *
     * @param self this process
     * @param dataCentre its data centre
     */
    public ConfigKeeper(Incarnation self, DataCentreName dataCentre) {
        this.self = self;
        this.dataCentre = dataCentre;
    }

    /**
     * Takes an event in.
     *
     * @param event what happened
     * @param now present time
     * @return what to do, in order
     */
    public List<ConfigEffect> handle(ConfigEvent event, MonotonicTime now) {
        List<ConfigEffect> effects = new ArrayList<>();
        switch (event) {
            case ConfigEvent.HeadRead e -> onHead(e, effects);
            case ConfigEvent.PeerAnswered e -> onPeer(e, now, effects);
            case ConfigEvent.PeerHinted e -> onHint(e.view(), effects);
            case ConfigEvent.ManifestLoaded e -> onManifest(e, effects);
            case ConfigEvent.ManifestFailed e -> onFailure(e);
            case ConfigEvent.Registered e -> registeredAt = registeredAt.or(() -> Optional.of(e.confirmedAt()));
        }
        freshness.recheck(this::covers);
        return effects;
    }

    /**
     * Gives what is in force here.
     *
     * @return empty before anything was loaded
     */
    public Optional<EffectiveConfig> effective() {
        return accepted.map(a -> EffectiveConfig.of(a, pending));
    }

    /**
     * Gives the manifest of a version for a peer that asks.
     *
     * @param ref the version
     * @return empty unless it is the accepted or the pending one here
     */
    public Optional<Manifest> manifest(ConfigRef ref) {
        return accepted.filter(l -> l.ref().equals(ref))
                .or(() -> pending.filter(l -> l.ref().equals(ref)))
                .map(LoadedConfig::manifest);
    }

    /**
     * Gives the point up to which nothing newer than what is loaded had been accepted.
     *
     * @return empty if that was never known
     */
    public Optional<MonotonicTime> confirmedAt() {
        return accepted.flatMap(a -> freshness.counted()).map(Evidence::at);
    }

    /**
     * Judges which keyed requests may run.
     *
     * @param confirmedAt result of {@link #confirmedAt}
     * @param limit how long keyed {@code read} and {@code queue} routes go on when cut off
     * @param now present time
     * @return what may run
     */
    public static KeyTrust trust(Optional<MonotonicTime> confirmedAt, Duration limit, MonotonicTime now) {
        if (confirmedAt.isEmpty()) {
            return KeyTrust.NONE;
        }
        Duration age = now.since(confirmedAt.get());
        if (age.compareTo(FRESH_WINDOW) <= 0) {
            return KeyTrust.ALL;
        }
        return age.compareTo(FRESH_WINDOW.plus(limit)) <= 0 ? KeyTrust.READ_AND_QUEUE : KeyTrust.NONE;
    }

    /**
     * Tells peers where this VM stands.
     *
     * @param now present time
     * @return the answer to a probe
     */
    public PeerView view(MonotonicTime now) {
        return new PeerView(
                self,
                dataCentre,
                accepted.map(LoadedConfig::ref),
                pending.map(LoadedConfig::ref),
                freshness.counted().map(e -> new Confirmation(now.since(e.at()), e.bound())),
                mayVote(),
                fingerprint());
    }

    private void onHead(ConfigEvent.HeadRead e, List<ConfigEffect> effects) {
        want(Optional.of(e.head().accepted()), e.head().pending(), Optional.empty(), effects);
        if (votesFrom.isEmpty() && registeredAt.isPresent() && !e.sentAt().isBefore(registeredAt.get())) {
            votesFrom = Optional.of(e.head().version());
        }
        freshness.add(new Evidence(e.head().accepted().version(), e.sentAt()), this::covers);
    }

    private void onPeer(ConfigEvent.PeerAnswered e, MonotonicTime now, List<ConfigEffect> effects) {
        PeerView v = e.view();
        votes.add(v, e.sentAt());
        onHint(v, effects);
        v.confirmation()
                .map(c -> new Evidence(c.bound(), e.sentAt().plus(c.age().negated())))
                .ifPresent(evidence -> freshness.add(evidence, this::covers));
        countVotes(now);
    }

    private void onHint(PeerView v, List<ConfigEffect> effects) {
        want(v.accepted(), v.pending(), Optional.of(v.incarnation().vm()), effects);
    }

    private void onManifest(ConfigEvent.ManifestLoaded e, List<ConfigEffect> effects) {
        fetching = fetching.filter(r -> !r.equals(e.ref()));
        LoadedConfig loaded = new LoadedConfig(e.ref(), e.manifest());
        if (wantedAccepted.filter(e.ref()::equals).isPresent()) {
            accept(loaded, effects);
        } else if (wantedPending.filter(e.ref()::equals).isPresent() && isNewer(e.ref(), wantedAccepted)) {
            hold(loaded, effects);
        }
        fetchNext(effects);
    }

    private void onFailure(ConfigEvent.ManifestFailed e) {
        fetching = fetching.filter(r -> !r.equals(e.ref()));
        holder = Optional.empty();
    }

    private void want(
            Optional<ConfigRef> newAccepted,
            Optional<ConfigRef> newPending,
            Optional<VmName> from,
            List<ConfigEffect> effects) {
        if (newAccepted.isPresent() && isNewer(newAccepted.get(), wantedAccepted)) {
            wantedAccepted = newAccepted;
            holder = from;
            promote(newAccepted.get(), effects);
        }
        if (newPending.isPresent()
                && isNewer(newPending.get(), wantedAccepted)
                && isNewer(newPending.get(), wantedPending)) {
            wantedPending = newPending;
            holder = from;
        }
        fetchNext(effects);
    }

    private void promote(ConfigRef ref, List<ConfigEffect> effects) {
        if (pending.filter(p -> p.ref().equals(ref)).isPresent()) {
            accept(pending.get(), effects);
        }
    }

    private void fetchNext(List<ConfigEffect> effects) {
        if (fetching.isPresent()) {
            return;
        }
        fetching = wantedAccepted
                .filter(r -> isNewer(r, accepted.map(LoadedConfig::ref)))
                .or(() -> wantedPending
                        .filter(r -> isNewer(r, pending.map(LoadedConfig::ref)))
                        .filter(r -> isNewer(r, wantedAccepted)));
        fetching.ifPresent(r -> effects.add(new ConfigEffect.Fetch(r, holder)));
    }

    private void accept(LoadedConfig loaded, List<ConfigEffect> effects) {
        accepted = Optional.of(loaded);
        pending = pending.filter(p -> isNewer(p.ref(), Optional.of(loaded.ref())));
        onLoaded(effects);
    }

    private void hold(LoadedConfig loaded, List<ConfigEffect> effects) {
        pending = Optional.of(loaded);
        boolean same =
                accepted.map(a -> dataCentres(a).equals(dataCentres(loaded))).orElse(false);
        if (!same) {
            changesDataCentres = loaded.ref().version();
        }
        onLoaded(effects);
    }

    private void onLoaded(List<ConfigEffect> effects) {
        effective().ifPresent(e -> effects.add(new ConfigEffect.Install(e)));
    }

    private void countVotes(MonotonicTime now) {
        if (accepted.isEmpty() || isChangingDataCentres()) {
            return;
        }
        Optional<DataCentreName> own = mayVote() ? Optional.of(dataCentre) : Optional.empty();
        votes.evaluate(dataCentres(accepted.get()), fingerprint(), own, loaded(), now)
                .ifPresent(e -> freshness.add(e, this::covers));
    }

    private boolean mayVote() {
        return accepted.isPresent()
                && !isChangingDataCentres()
                && votesFrom.filter(v -> v.compareTo(loaded()) <= 0).isPresent();
    }

    /** Tells whether all that evidence up to a version speaks of is applied here. */
    private boolean covers(ConfigVersion bound) {
        if (accepted.isEmpty()
                || wantedAccepted
                        .filter(r -> isNewer(r, accepted.map(LoadedConfig::ref)))
                        .isPresent()) {
            return false;
        }
        return accepted.get().ref().version().compareTo(bound) >= 0
                || pending.filter(p -> p.ref().version().equals(bound)).isPresent();
    }

    private boolean isChangingDataCentres() {
        return accepted.isPresent()
                && changesDataCentres.compareTo(accepted.get().ref().version()) > 0;
    }

    private ConfigVersion loaded() {
        return pending.or(() -> accepted).map(l -> l.ref().version()).orElse(ConfigVersion.NONE);
    }

    private int fingerprint() {
        return accepted.map(a -> MajorityUtil.fingerprint(dataCentres(a))).orElse(0);
    }

    private static Set<DataCentreName> dataCentres(LoadedConfig loaded) {
        return MajorityUtil.voting(loaded.manifest());
    }

    private static boolean isNewer(ConfigRef ref, Optional<ConfigRef> than) {
        return than.map(t -> ref.version().compareTo(t.version()) > 0).orElse(true);
    }
}
