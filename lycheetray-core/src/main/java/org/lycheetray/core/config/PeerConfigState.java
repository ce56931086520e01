package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * Configuration state of a VM as sent to its peers in probes and in the answers to them.
 *
 * @param incarnation incarnation of the VM
 * @param dataCentre data centre of the VM
 * @param accepted newest accepted version that the VM has loaded, empty if none
 * @param pending pending version that the VM has loaded, empty if none
 * @param freshnessEvidence newest evidence of freshness, empty if there is none
 * @param isVoter true if the VM may represent its data centre in a majority
 * @param dataCentresFingerprint fingerprint of the voting data centres of its accepted version
 */
public record PeerConfigState(
        Incarnation incarnation,
        DataCentreName dataCentre,
        Optional<ConfigRef> accepted,
        Optional<ConfigRef> pending,
        Optional<FreshnessEvidence> freshnessEvidence,
        boolean isVoter,
        int dataCentresFingerprint) {
    /**
     * Returns the newest version whose restrictions the VM applies.
     *
     * @return the pending version, else the accepted version, else {@link ConfigVersion#NONE}
     */
    public ConfigVersion loaded() {
        return pending.or(() -> accepted).map(ConfigRef::version).orElse(ConfigVersion.NONE);
    }
}
