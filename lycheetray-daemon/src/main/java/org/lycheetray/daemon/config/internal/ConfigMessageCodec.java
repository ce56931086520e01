package org.lycheetray.daemon.config.internal;

import java.time.Duration;
import java.util.Optional;
import org.lycheetray.core.config.ConfigRef;
import org.lycheetray.core.config.FreshnessEvidence;
import org.lycheetray.core.config.PeerConfigState;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.protocol.generated.ConfigState;
import org.lycheetray.protocol.generated.ConfigVersionRef;

/** Converts between configuration types and messages of the peer network. */
final class ConfigMessageCodec {
    private static final int NANOS_PER_MICRO = 1_000;

    private ConfigMessageCodec() {}

    static ConfigState toMessage(PeerConfigState v) {
        ConfigState m = new ConfigState();
        m.setVm(v.incarnation().vm().value());
        m.setIncarnation(v.incarnation().number());
        m.setDataCentre(v.dataCentre().value());
        v.accepted().ifPresent(r -> m.setAccepted(toMessage(r)));
        v.pending().ifPresent(r -> m.setPending(toMessage(r)));
        v.freshnessEvidence().ifPresent(c -> {
            m.setConfirmedAgeMicros(c.age().toNanos() / NANOS_PER_MICRO + 1);
            m.setConfirmedBound(c.bound().number());
        });
        m.setVoter(v.isVoter());
        m.setDataCentres(v.dataCentresFingerprint());
        return m;
    }

    /**
     * Converts a message to a peer's state.
     *
     * @throws RuntimeException if a field is missing or invalid
     */
    static PeerConfigState fromMessage(ConfigState m) {
        Optional<FreshnessEvidence> evidence = m.isSetConfirmedAgeMicros()
                ? Optional.of(new FreshnessEvidence(
                        Duration.ofNanos(Math.max(0, m.getConfirmedAgeMicros()) * NANOS_PER_MICRO),
                        new ConfigVersion(m.getConfirmedBound())))
                : Optional.empty();
        return new PeerConfigState(
                new Incarnation(new VmName(m.getVm()), m.getIncarnation()),
                new DataCentreName(m.getDataCentre()),
                Optional.ofNullable(m.getAccepted()).map(ConfigMessageCodec::fromMessage),
                Optional.ofNullable(m.getPending()).map(ConfigMessageCodec::fromMessage),
                evidence,
                m.isVoter(),
                m.getDataCentres());
    }

    static ConfigVersionRef toMessage(ConfigRef r) {
        return new ConfigVersionRef(r.version().number(), r.digest().hex());
    }

    static ConfigRef fromMessage(ConfigVersionRef m) {
        return new ConfigRef(new ConfigVersion(m.getVersion()), new ManifestDigest(m.getDigest()));
    }
}
