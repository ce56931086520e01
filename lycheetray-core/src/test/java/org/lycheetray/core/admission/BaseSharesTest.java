package org.lycheetray.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.lycheetray.core.model.Rate;
import org.lycheetray.core.model.VmName;

class BaseSharesTest {
    @Property(seed = "14", tries = 100)
    void partsAddUpExactlyAndHoldersCanAdmit(
            @ForAll @IntRange(min = 1, max = 1000) int perSecond,
            @ForAll @IntRange(min = 1, max = 1000) int burst,
            @ForAll @IntRange(min = 1, max = 40) int vms) {
        Rate rate = new Rate(perSecond, burst);
        BaseShares shares = new BaseShares(Manifests.of(rate, vms));

        RateShare sum = IntStream.range(0, vms)
                .mapToObj(i -> shares.share(Manifests.ACCOUNT, Manifests.vm(i)))
                .reduce(RateShare.NONE, RateShare::plus);

        assertThat(sum).isEqualTo(RateShare.of(rate));
        for (VmName holder : shares.holders(Manifests.ACCOUNT)) {
            assertThat(shares.share(Manifests.ACCOUNT, holder).burst()).isGreaterThanOrEqualTo(RateShare.TOKEN);
        }
    }

    @Property(seed = "15", tries = 20)
    void everyDataCentreHasAHolderBeforeAnyHasTwo(@ForAll @IntRange(min = 2, max = 20) int vms) {
        int dataCentres = (vms + 1) / 2;
        BaseShares shares = new BaseShares(Manifests.of(new Rate(1, dataCentres), vms));

        assertThat(shares.holders(Manifests.ACCOUNT).stream()
                        .map(h -> Integer.parseInt(h.value().substring(3)) / 2)
                        .distinct())
                .hasSize(dataCentres);
    }
}
