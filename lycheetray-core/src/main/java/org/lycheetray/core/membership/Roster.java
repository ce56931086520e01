package org.lycheetray.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/** The declared entry VMs, arranged by data centre and region; immutable. */
public final class Roster {
    private final Map<VmName, Vm> vms = new HashMap<>();
    private final Map<DataCentreName, List<VmName>> byDataCentre = new TreeMap<>();
    private final Map<DataCentreName, RegionName> regions = new HashMap<>();

    private Roster(Collection<DataCentre> dataCentres, Collection<Vm> declared) {
        for (DataCentre d : dataCentres) {
            regions.put(d.name(), d.region());
            byDataCentre.put(d.name(), new ArrayList<>());
        }
        for (Vm v : declared) {
            vms.put(v.name(), v);
            Objects.requireNonNull(byDataCentre.get(v.dataCentre()), "undeclared data centre")
                    .add(v.name());
        }
        byDataCentre.values().forEach(Collections::sort);
    }

    /**
     * Takes the declared VMs from a manifest.
     *
     * @param manifest the manifest
     * @return its roster
     */
    public static Roster of(Manifest manifest) {
        return new Roster(manifest.dataCentres(), manifest.vms());
    }

    /**
     * Makes a roster of given VMs.
     *
     * @param dataCentres all data centres
     * @param vms all VMs
     * @return the roster
     */
    public static Roster of(Collection<DataCentre> dataCentres, Collection<Vm> vms) {
        return new Roster(dataCentres, vms);
    }

    /**
     * Names the declared VMs of a data centre.
     *
     * @param dataCentre the data centre
     * @return the names in order, empty for an undeclared data centre
     */
    public List<VmName> vms(DataCentreName dataCentre) {
        return Collections.unmodifiableList(byDataCentre.getOrDefault(dataCentre, List.of()));
    }

    /**
     * Names all data centres.
     *
     * @return the names in order
     */
    public Collection<DataCentreName> dataCentres() {
        return Collections.unmodifiableSet(byDataCentre.keySet());
    }

    /**
     * Tells whether a VM is declared.
     *
     * @param vm the VM
     * @return true if it is
     */
    public boolean contains(VmName vm) {
        return vms.containsKey(vm);
    }

    /**
     * Gives a declared VM.
     *
     * @param vm its name
     * @return the VM
     * @throws NullPointerException if it is not declared
     */
    public Vm vm(VmName vm) {
        return Objects.requireNonNull(vms.get(vm), () -> "undeclared VM " + vm);
    }

    /**
     * Gives the data centre of a declared VM.
     *
     * @param vm its name
     * @return the data centre
     */
    public DataCentreName dataCentre(VmName vm) {
        return vm(vm).dataCentre();
    }

    /**
     * Gives the region of a data centre.
     *
     * @param dataCentre the data centre
     * @return the region
     */
    public RegionName region(DataCentreName dataCentre) {
        return Objects.requireNonNull(regions.get(dataCentre), () -> "undeclared data centre " + dataCentre);
    }
}
