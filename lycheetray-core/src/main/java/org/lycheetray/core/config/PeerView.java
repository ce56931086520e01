package org.lycheetray.core.config;

import java.util.Optional;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Incarnation;

/**
 * What one VM tells another of its configuration, in answer to a probe.
 *
 * @param incarnation the process that answers
 * @param dataCentre its data centre
 * @param accepted newest accepted version that it has loaded, empty before the first
 * @param pending pending version that it has loaded
 * @param confirmation how fresh it is, empty if it has no evidence
 * @param isVoter true if it may stand for its data centre in a majority
 * @param dataCentres fingerprint of the data centres of its accepted version
 */
public record PeerView(
        Incarnation incarnation,
        DataCentreName dataCentre,
        Optional<ConfigRef> accepted,
        Optional<ConfigRef> pending,
        Optional<Confirmation> confirmation,
        boolean isVoter,
        int dataCentres) {
    /**
     * Gives the newest version whose restrictions the VM applies.
     *
     * @return the pending one, else the accepted one, else none
     */
    public ConfigVersion loaded() {
        return pending.or(() -> accepted).map(ConfigRef::version).orElse(ConfigVersion.NONE);
    }
}
