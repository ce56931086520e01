package org.lycheetray.core.fair;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

class FairQueuePropertyTest {
    private static final FairQueueLimits LIMITS = new FairQueueLimits(8, 5);

    @Property(seed = "4", tries = 200)
    void everyOfferedRequestIsReturnedExactlyOnce(@ForAll long seed) {
        Random random = new Random(seed);
        FairQueue<Integer> queue = new FairQueue<>(LIMITS);
        List<Integer> returned = new ArrayList<>();
        MonotonicTime now = MonotonicTime.ZERO;
        for (int i = 0; i < 200; i++) {
            now = now.plus(Duration.ofMillis(random.nextInt(3)));
            ClientAccountName account = new ClientAccountName("a" + random.nextInt(4));
            collect(queue.offer(account, 1 + random.nextInt(3), i, now.plus(millis(random)), now), i, returned);
            if (random.nextInt(3) > 0) {
                collect(queue.take(now), now, returned);
            }
            assertThat(queue.size()).isLessThanOrEqualTo(LIMITS.total());
        }
        queue.removeExpired(now.plus(Duration.ofSeconds(1))).forEach(t -> returned.add(t.item()));

        assertThat(returned).doesNotHaveDuplicates().hasSize(200);
        assertThat(queue.size()).isZero();
    }

    private static Duration millis(Random random) {
        return Duration.ofMillis(random.nextInt(30));
    }

    private static void collect(OfferResult<Integer> offer, int item, List<Integer> returned) {
        switch (offer) {
            case OfferResult.Queued<Integer> q -> {}
            case OfferResult.Displaced<Integer> d -> returned.add(d.displaced().item());
            case OfferResult.Refused<Integer> r -> returned.add(item);
        }
    }

    private static void collect(Selection<Integer> selection, MonotonicTime now, List<Integer> returned) {
        selection.expired().forEach(t -> returned.add(t.item()));
        selection.next().ifPresent(t -> {
            assertThat(now).isLessThan(t.deadline());
            returned.add(t.item());
        });
    }
}
