package org.lycheetray.core.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.config.internal.FreshnessTracker;
import org.lycheetray.core.config.internal.FreshnessTracker.Evidence;
import org.lycheetray.core.config.internal.MajorityUtil;
import org.lycheetray.core.config.internal.Votes;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.MonotonicTime;

/**
 * State machine for the configuration of one VM: the loaded versions, the version in effect, and the age of the newest
 * evidence that no newer version was accepted.
 *
 * <p>Versions only increase: a head row, a peer state or a manifest with an older version changes nothing. After a
 * start a VM accepts no client key until it has read the accepted version from the table, or has received it from a
 * majority of data centres. Not thread-safe.
 */
public final class ConfigTracker {
    /** Maximum age of evidence at which the configuration counts as fresh. */
    public static final Duration FRESHNESS_WINDOW = Duration.ofSeconds(3);

    private final Incarnation localIncarnation;
    private final DataCentreName localDataCentre;
    private final FreshnessTracker freshness = new FreshnessTracker();
    private final Votes votes = new Votes();
    private Optional<LoadedConfig> accepted = Optional.empty();
    private Optional<LoadedConfig> pending = Optional.empty();
    private Optional<ConfigRef> targetAccepted = Optional.empty();
    private Optional<ConfigRef> targetPending = Optional.empty();
    private Optional<ConfigRef> fetchInProgress = Optional.empty();
    private Optional<VmName> fetchPeer = Optional.empty();
    private Optional<MonotonicTime> registeredAt = Optional.empty();
    /** Newest loaded pending version whose voting data centres differ from those of the accepted version. */
    private ConfigVersion dataCentreChangeVersion = ConfigVersion.NONE;
    /**
     * Version that this VM must have loaded before it may vote: the newest one in the first read of the head row that
     * was sent after the registration was known. Earlier versions may have been acknowledged without this VM.
     */
    private Optional<ConfigVersion> minVotingVersion = Optional.empty();

    /**
     * Creates the state of a VM that has not loaded a configuration.
     *
     * @param localIncarnation incarnation of the local process
     * @param dataCentre data centre of the local VM
     */
    public ConfigTracker(Incarnation localIncarnation, DataCentreName dataCentre) {
        this.localIncarnation = localIncarnation;
        this.localDataCentre = dataCentre;
    }

    /**
     * Applies an event.
     *
     * @param event the event
     * @param now current time
     * @return the actions to carry out, in order
     */
    public List<ConfigEffect> handle(ConfigEvent event, MonotonicTime now) {
        List<ConfigEffect> effects = new ArrayList<>();
        switch (event) {
            case ConfigEvent.HeadRead e -> onHead(e, effects);
            case ConfigEvent.ProbeAnswered e -> onProbeAnswer(e, now, effects);
            case ConfigEvent.PeerStateReceived e -> updateTargetsFromPeer(e.view(), effects);
            case ConfigEvent.ManifestLoaded e -> onManifest(e, effects);
            case ConfigEvent.ManifestFailed e -> onManifestFailure(e);
            case ConfigEvent.Registered e -> registeredAt = registeredAt.or(() -> Optional.of(e.confirmedAt()));
        }
        freshness.reevaluateDeferred(this::isLoadedUpTo);
        return effects;
    }

    /**
     * Returns the configuration in effect on the local VM.
     *
     * @return the configuration, empty before the first accepted version was loaded
     */
    public Optional<EffectiveConfig> effective() {
        return accepted.map(a -> EffectiveConfig.of(a, pending));
    }

    /**
     * Returns the manifest of a loaded version.
     *
     * @param ref the version
     * @return the manifest, empty unless the version is the loaded accepted or the loaded pending version
     */
    public Optional<Manifest> manifest(ConfigRef ref) {
        return accepted.filter(l -> l.ref().equals(ref))
                .or(() -> pending.filter(l -> l.ref().equals(ref)))
                .map(LoadedConfig::manifest);
    }

    /**
     * Returns the latest time at which no version newer than the loaded ones had been accepted.
     *
     * @return the time, empty if there has been no evidence since the start
     */
    public Optional<MonotonicTime> confirmedAt() {
        return accepted.flatMap(a -> freshness.confirmed()).map(Evidence::at);
    }

    /**
     * Returns which keyed requests may run, given the age of the configuration.
     *
     * @param confirmedAt result of {@link #confirmedAt}
     * @param limit how long after {@link #FRESHNESS_WINDOW} keyed requests to {@code read} and {@code queue} routes are
     *     still accepted
     * @param now current time
     * @return the keyed requests that may run
     */
    public static KeyAcceptance keyAcceptance(Optional<MonotonicTime> confirmedAt, Duration limit, MonotonicTime now) {
        if (confirmedAt.isEmpty()) {
            return KeyAcceptance.NONE;
        }
        Duration age = now.since(confirmedAt.get());
        if (age.compareTo(FRESHNESS_WINDOW) <= 0) {
            return KeyAcceptance.ALL;
        }
        return age.compareTo(FRESHNESS_WINDOW.plus(limit)) <= 0 ? KeyAcceptance.READ_AND_QUEUE : KeyAcceptance.NONE;
    }

    /**
     * Returns the configuration state of the local VM, which is sent in answer to probes.
     *
     * @param now current time
     * @return the state of the local VM
     */
    public PeerConfigState localState(MonotonicTime now) {
        return new PeerConfigState(
                localIncarnation,
                localDataCentre,
                accepted.map(LoadedConfig::ref),
                pending.map(LoadedConfig::ref),
                freshness.confirmed().map(e -> new FreshnessEvidence(now.since(e.at()), e.bound())),
                canVote(),
                fingerprint());
    }

    private void onHead(ConfigEvent.HeadRead e, List<ConfigEffect> effects) {
        updateTargets(Optional.of(e.head().accepted()), e.head().pending(), Optional.empty(), effects);
        if (minVotingVersion.isEmpty()
                && registeredAt.isPresent()
                && !e.sentAt().isBefore(registeredAt.get())) {
            minVotingVersion = Optional.of(e.head().version());
        }
        freshness.add(new Evidence(e.head().accepted().version(), e.sentAt()), this::isLoadedUpTo);
    }

    private void onProbeAnswer(ConfigEvent.ProbeAnswered e, MonotonicTime now, List<ConfigEffect> effects) {
        PeerConfigState v = e.view();
        votes.add(v, e.sentAt());
        updateTargetsFromPeer(v, effects);
        v.freshnessEvidence()
                .map(c -> new Evidence(c.bound(), e.sentAt().plus(c.age().negated())))
                .ifPresent(evidence -> freshness.add(evidence, this::isLoadedUpTo));
        evaluateVotes(now);
    }

    private void updateTargetsFromPeer(PeerConfigState v, List<ConfigEffect> effects) {
        updateTargets(v.accepted(), v.pending(), Optional.of(v.incarnation().vm()), effects);
    }

    private void onManifest(ConfigEvent.ManifestLoaded e, List<ConfigEffect> effects) {
        fetchInProgress = fetchInProgress.filter(r -> !r.equals(e.ref()));
        LoadedConfig loaded = new LoadedConfig(e.ref(), e.manifest());
        if (targetAccepted.filter(e.ref()::equals).isPresent()) {
            installAccepted(loaded, effects);
        } else if (targetPending.filter(e.ref()::equals).isPresent() && isNewer(e.ref(), targetAccepted)) {
            installPending(loaded, effects);
        }
        fetchNext(effects);
    }

    private void onManifestFailure(ConfigEvent.ManifestFailed e) {
        fetchInProgress = fetchInProgress.filter(r -> !r.equals(e.ref()));
        fetchPeer = Optional.empty();
    }

    private void updateTargets(
            Optional<ConfigRef> newAccepted,
            Optional<ConfigRef> newPending,
            Optional<VmName> from,
            List<ConfigEffect> effects) {
        if (newAccepted.isPresent() && isNewer(newAccepted.get(), targetAccepted)) {
            targetAccepted = newAccepted;
            fetchPeer = from;
            promotePending(newAccepted.get(), effects);
        }
        if (newPending.isPresent()
                && isNewer(newPending.get(), targetAccepted)
                && isNewer(newPending.get(), targetPending)) {
            targetPending = newPending;
            fetchPeer = from;
        }
        fetchNext(effects);
    }

    private void promotePending(ConfigRef ref, List<ConfigEffect> effects) {
        if (pending.filter(p -> p.ref().equals(ref)).isPresent()) {
            installAccepted(pending.get(), effects);
        }
    }

    private void fetchNext(List<ConfigEffect> effects) {
        if (fetchInProgress.isPresent()) {
            return;
        }
        fetchInProgress = targetAccepted
                .filter(r -> isNewer(r, accepted.map(LoadedConfig::ref)))
                .or(() -> targetPending
                        .filter(r -> isNewer(r, pending.map(LoadedConfig::ref)))
                        .filter(r -> isNewer(r, targetAccepted)));
        fetchInProgress.ifPresent(r -> effects.add(new ConfigEffect.Fetch(r, fetchPeer)));
    }

    private void installAccepted(LoadedConfig loaded, List<ConfigEffect> effects) {
        accepted = Optional.of(loaded);
        pending = pending.filter(p -> isNewer(p.ref(), Optional.of(loaded.ref())));
        addInstallEffect(effects);
    }

    private void installPending(LoadedConfig loaded, List<ConfigEffect> effects) {
        pending = Optional.of(loaded);
        boolean sameDataCentres =
                accepted.map(a -> dataCentres(a).equals(dataCentres(loaded))).orElse(false);
        if (!sameDataCentres) {
            dataCentreChangeVersion = loaded.ref().version();
        }
        addInstallEffect(effects);
    }

    private void addInstallEffect(List<ConfigEffect> effects) {
        effective().ifPresent(e -> effects.add(new ConfigEffect.Install(e)));
    }

    private void evaluateVotes(MonotonicTime now) {
        if (accepted.isEmpty() || isChangingDataCentres()) {
            return;
        }
        Optional<DataCentreName> localVote = canVote() ? Optional.of(localDataCentre) : Optional.empty();
        votes.evaluate(dataCentres(accepted.get()), fingerprint(), localVote, newestLoadedVersion(), now)
                .ifPresent(e -> freshness.add(e, this::isLoadedUpTo));
    }

    private boolean canVote() {
        return accepted.isPresent()
                && !isChangingDataCentres()
                && minVotingVersion
                        .filter(v -> v.compareTo(newestLoadedVersion()) <= 0)
                        .isPresent();
    }

    /**
     * Returns whether the local VM has loaded every version up to {@code bound} that may have been accepted. A pending
     * version suffices only if it is {@code bound} itself, and never while a newer accepted version is still to be
     * fetched.
     */
    private boolean isLoadedUpTo(ConfigVersion bound) {
        if (accepted.isEmpty()
                || targetAccepted
                        .filter(r -> isNewer(r, accepted.map(LoadedConfig::ref)))
                        .isPresent()) {
            return false;
        }
        return accepted.get().ref().version().compareTo(bound) >= 0
                || pending.filter(p -> p.ref().version().equals(bound)).isPresent();
    }

    private boolean isChangingDataCentres() {
        return accepted.isPresent()
                && dataCentreChangeVersion.compareTo(accepted.get().ref().version()) > 0;
    }

    private ConfigVersion newestLoadedVersion() {
        return pending.or(() -> accepted).map(l -> l.ref().version()).orElse(ConfigVersion.NONE);
    }

    private int fingerprint() {
        return accepted.map(a -> MajorityUtil.fingerprint(dataCentres(a))).orElse(0);
    }

    private static Set<DataCentreName> dataCentres(LoadedConfig loaded) {
        return MajorityUtil.votingDataCentres(loaded.manifest());
    }

    private static boolean isNewer(ConfigRef ref, Optional<ConfigRef> than) {
        return than.map(t -> ref.version().compareTo(t.version()) > 0).orElse(true);
    }
}
