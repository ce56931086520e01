package org.lycheetray.core.config;

import java.util.List;
import java.util.stream.IntStream;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.manifest.ManifestWriter;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.DataCentre;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/** Creates manifests with one region, one client account and a given list of entry VMs. */
final class TestManifests {
    static final ClientAccountName SHOP = new ClientAccountName("shop");

    private TestManifests() {}

    static DataCentreName dataCentre(int i) {
        return new DataCentreName("dc-" + i);
    }

    static VmName vm(int dataCentre, int i) {
        return new VmName("vm-" + dataCentre + "-" + i);
    }

    static KeyHash key(int i) {
        return KeyHash.of("key-" + i);
    }

    static Manifest manifest(List<Vm> vms, List<KeyHash> keys, Rate rate) {
        RegionName region = new RegionName("north");
        List<DataCentre> dataCentres = vms.stream()
                .map(Vm::dataCentre)
                .distinct()
                .map(d -> new DataCentre(d, region))
                .toList();
        List<ClientAccount> accounts = List.of(new ClientAccount(SHOP, keys, rate, 1));
        return new Manifest(
                List.of(region),
                dataCentres,
                vms,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                accounts,
                List.of(),
                List.of(),
                Policy.DEFAULT);
    }

    static List<Vm> vms(int dataCentres, int perDataCentre) {
        return IntStream.range(0, dataCentres * perDataCentre)
                .mapToObj(i -> new Vm(
                        vm(i / perDataCentre, i % perDataCentre),
                        dataCentre(i / perDataCentre),
                        new Endpoint("127.0.0.1", 1_000 + i),
                        new Endpoint("127.0.0.1", 2_000 + i)))
                .toList();
    }

    /** Creates the manifest of a version that withdraws the keys with numbers up to the version's own. */
    static Manifest withKeysWithdrawn(List<Vm> vms, long version, int keys) {
        List<KeyHash> valid = IntStream.range((int) version + 1, keys)
                .mapToObj(TestManifests::key)
                .toList();
        return manifest(vms, valid, new Rate(100, 100));
    }

    static LoadedConfig loaded(long version, Manifest m) {
        ManifestDigest digest = ManifestDigest.of(ManifestWriter.write(m));
        return new LoadedConfig(new ConfigRef(new ConfigVersion(version), digest), m);
    }
}
