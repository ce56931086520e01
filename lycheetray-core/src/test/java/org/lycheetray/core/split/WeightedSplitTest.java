package org.lycheetray.core.split;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.traffic.WeightedService;

class WeightedSplitTest {
    private static final ServiceName A = new ServiceName("a");
    private static final ServiceName B = new ServiceName("b");

    @Test
    void sharesHoldAfterEveryRequest() {
        WeightedSplit split = new WeightedSplit(List.of(new WeightedService(A, 90), new WeightedService(B, 10)), 0.5);

        int toB = 0;
        for (int i = 1; i <= 300; i++) {
            toB += split.next().equals(B) ? 1 : 0;
            assertThat(toB).isBetween((int) Math.floor(i * 0.1) - 1, (int) Math.ceil(i * 0.1) + 1);
        }
    }

    @Test
    void serviceWithZeroWeightReceivesNoRequests() {
        WeightedSplit split = new WeightedSplit(List.of(new WeightedService(A, 0), new WeightedService(B, 5)), 0.9);

        for (int i = 0; i < 50; i++) {
            assertThat(split.next()).isEqualTo(B);
        }
    }
}
