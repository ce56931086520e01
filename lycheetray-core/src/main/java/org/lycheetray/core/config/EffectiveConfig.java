package org.lycheetray.core.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Rate;

/**
 * The configuration in effect on a VM: the accepted manifest, restricted by the pending one.
 *
 * <p>Keys that the pending manifest withdraws are rejected immediately, and rates that it lowers are lowered
 * immediately. All other changes take effect on acceptance, because a version that is still pending may be lost.
 *
 * @param accepted the accepted version
 * @param pending the pending version whose restrictions apply, empty if none
 * @param manifest the resulting manifest
 */
public record EffectiveConfig(ConfigRef accepted, Optional<ConfigRef> pending, Manifest manifest) {
    /**
     * Combines an accepted and a pending configuration.
     *
     * @param accepted the accepted configuration
     * @param pending the pending configuration, empty if none
     * @return the configuration in effect
     */
    public static EffectiveConfig of(LoadedConfig accepted, Optional<LoadedConfig> pending) {
        Manifest manifest =
                pending.map(p -> restrict(accepted.manifest(), p.manifest())).orElse(accepted.manifest());
        return new EffectiveConfig(accepted.ref(), pending.map(LoadedConfig::ref), manifest);
    }

    /**
     * Returns the version that refusals and ledger lines report.
     *
     * @return the accepted version
     */
    public ConfigVersion version() {
        return accepted.version();
    }

    private static Manifest restrict(Manifest accepted, Manifest pending) {
        Map<ClientAccountName, ClientAccount> next = new HashMap<>();
        pending.clientAccounts().forEach(a -> next.put(a.name(), a));
        List<ClientAccount> restricted = accepted.clientAccounts().stream()
                .map(a -> restrict(a, next.get(a.name())))
                .toList();
        return withAccounts(accepted, restricted);
    }

    private static ClientAccount restrict(ClientAccount a, ClientAccount next) {
        if (next == null) {
            return new ClientAccount(a.name(), List.of(), a.rate(), a.weight());
        }
        Set<KeyHash> kept = new HashSet<>(next.keyHashes());
        List<KeyHash> keys = a.keyHashes().stream().filter(kept::contains).toList();
        Rate rate = new Rate(
                Math.min(a.rate().perSecond(), next.rate().perSecond()),
                Math.min(a.rate().burst(), next.rate().burst()));
        return new ClientAccount(a.name(), keys, rate, a.weight());
    }

    private static Manifest withAccounts(Manifest m, List<ClientAccount> accounts) {
        return new Manifest(
                m.regions(),
                m.dataCentres(),
                m.vms(),
                m.links(),
                m.services(),
                m.backendServers(),
                m.routes(),
                accounts,
                m.clientBlocks(),
                m.plannedDrains(),
                m.policy());
    }
}
