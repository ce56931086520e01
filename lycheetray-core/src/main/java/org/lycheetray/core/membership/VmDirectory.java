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

/** Immutable directory of the declared entry VMs by data centre and region. */
public final class VmDirectory {
    private final Map<VmName, Vm> vms = new HashMap<>();
    private final Map<DataCentreName, List<VmName>> byDataCentre = new TreeMap<>();
    private final Map<DataCentreName, RegionName> regions = new HashMap<>();

    private VmDirectory(Collection<DataCentre> dataCentres, Collection<Vm> declared) {
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
     * Creates a directory of the VMs declared in a manifest.
     *
     * @param manifest the manifest
     * @return the directory
     */
    public static VmDirectory of(Manifest manifest) {
        return new VmDirectory(manifest.dataCentres(), manifest.vms());
    }

    /**
     * Creates a directory of the given VMs.
     *
     * @param dataCentres all data centres
     * @param vms all VMs
     * @return the directory
     */
    public static VmDirectory of(Collection<DataCentre> dataCentres, Collection<Vm> vms) {
        return new VmDirectory(dataCentres, vms);
    }

    /**
     * Returns the names of the declared VMs of a data centre.
     *
     * @param dataCentre the data centre
     * @return the sorted names, empty for an undeclared data centre
     */
    public List<VmName> vms(DataCentreName dataCentre) {
        return Collections.unmodifiableList(byDataCentre.getOrDefault(dataCentre, List.of()));
    }

    /**
     * Returns the names of all data centres.
     *
     * @return the sorted names
     */
    public Collection<DataCentreName> dataCentres() {
        return Collections.unmodifiableSet(byDataCentre.keySet());
    }

    /**
     * Returns whether a VM is declared.
     *
     * @param vm the VM
     * @return true if the VM is declared
     */
    public boolean contains(VmName vm) {
        return vms.containsKey(vm);
    }

    /**
     * Returns a declared VM.
     *
     * @param vm its name
     * @return the VM
     * @throws NullPointerException if the VM is not declared
     */
    public Vm vm(VmName vm) {
        return Objects.requireNonNull(vms.get(vm), () -> "undeclared VM " + vm);
    }

    /**
     * Returns the data centre of a declared VM.
     *
     * @param vm its name
     * @return the data centre
     */
    public DataCentreName dataCentre(VmName vm) {
        return vm(vm).dataCentre();
    }

    /**
     * Returns the region of a data centre.
     *
     * @param dataCentre the data centre
     * @return the region
     */
    public RegionName region(DataCentreName dataCentre) {
        return Objects.requireNonNull(regions.get(dataCentre), () -> "undeclared data centre " + dataCentre);
    }
}
