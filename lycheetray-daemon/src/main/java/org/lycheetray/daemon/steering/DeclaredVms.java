package org.lycheetray.daemon.steering;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.daemon.config.ConfigView;
import org.lycheetray.daemon.http.LookupGate;

/** Lists the declared VMs, those of the own data centre first. */
public final class DeclaredVms implements LookupGate {
    private final ConfigView config;
    private final DataCentreName own;

    /**
     * Creates the gate.
     *
     * @param config configuration in force
     * @param own data centre of this VM
     */
    public DeclaredVms(ConfigView config, DataCentreName own) {
        this.config = config;
        this.own = own;
    }

    @Override
    public Optional<Answer> find(Lookup lookup) {
        return config.active().map(c -> {
            List<Vm> vms = c.manifest().vms().stream()
                    .sorted(Comparator.comparingInt(vm -> vm.dataCentre().equals(own) ? 0 : 1))
                    .toList();
            return new Answer(vms, c.manifest().policy().lookupTtl());
        });
    }
}
