package org.lycheetray.core.admission;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.DataCentreName;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.Vm;
import org.lycheetray.core.model.VmName;

/** Creates small manifests for tests. */
final class Manifests {
    static final ClientAccountName ACCOUNT = new ClientAccountName("account");

    private static final Policy POLICY =
            new Policy(Duration.ofMinutes(1), Duration.ofSeconds(5), Duration.ofHours(1), Duration.ofSeconds(9), 1);

    private Manifests() {}

    static VmName vm(int i) {
        return new VmName("vm-" + i);
    }

    /** Returns a manifest with one account and VMs 0 to vmCount - 1, two in each data centre. */
    static Manifest of(Rate rate, int vmCount) {
        return of(List.of(new ClientAccount(ACCOUNT, List.of(), rate, 1)), IntStream.range(0, vmCount));
    }

    static Manifest of(Rate rate, IntStream vms) {
        return of(List.of(new ClientAccount(ACCOUNT, List.of(), rate, 1)), vms);
    }

    static Manifest ofKey(String account, String key) {
        ClientAccount a =
                new ClientAccount(new ClientAccountName(account), List.of(KeyHash.of(key)), new Rate(1, 1), 1);
        return of(List.of(a), IntStream.range(0, 1));
    }

    private static Manifest of(List<ClientAccount> accounts, IntStream vms) {
        Endpoint e = new Endpoint("10.0.0.1", 80);
        List<Vm> declared = vms.mapToObj(i -> new Vm(vm(i), new DataCentreName("dc-" + i / 2), e, e))
                .toList();
        return new Manifest(
                List.of(), List.of(), declared, List.of(), List.of(), List.of(), List.of(), accounts, List.of(),
                List.of(), POLICY);
    }
}
