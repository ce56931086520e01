package org.lycheetray.core.fair;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.time.MonotonicTime;

class FairQueueTest {
    private static final ClientAccountName LARGE = new ClientAccountName("large");
    private static final ClientAccountName SMALL = new ClientAccountName("small");
    private static final MonotonicTime NOW = MonotonicTime.ZERO;
    private static final MonotonicTime LATER = NOW.plus(Duration.ofSeconds(1));

    private final FairQueue<String> queue = new FairQueue<>(new FairQueueLimits(6, 5));

    @Test
    void accountWithLongQueueDoesNotDelayAnother() {
        offer(LARGE, 1, 4);
        offer(SMALL, 1, 2);

        assertThat(takeAll()).containsExactly("large0", "small0", "large1", "small1", "large2", "large3");
    }

    @Test
    void turnsFollowWeights() {
        offer(LARGE, 2, 4);
        offer(SMALL, 1, 2);

        assertThat(takeAll()).containsExactly("large0", "large1", "small0", "large2", "large3", "small1");
    }

    @Test
    void requestBeyondAccountLimitIsRefused() {
        offer(LARGE, 1, 5);

        assertThat(queue.offer(LARGE, 1, "large5", LATER, NOW))
                .isEqualTo(new OfferResult.Refused<>(OfferResult.Reason.ACCOUNT_FULL));
    }

    @Test
    void fullQueueDisplacesNewestRequestOfLargestAccount() {
        offer(LARGE, 1, 5);
        offer(SMALL, 1, 1);

        OfferResult<String> offer = queue.offer(SMALL, 1, "small1", LATER, NOW);

        assertThat(offer)
                .isInstanceOfSatisfying(
                        OfferResult.Displaced.class,
                        d -> assertThat(d.displaced().item()).isEqualTo("large4"));
        assertThat(queue.size()).isEqualTo(6);
    }

    @Test
    void fullQueueRefusesAccountThatHoldsMost() {
        offer(SMALL, 1, 2);
        offer(LARGE, 1, 4);

        assertThat(queue.offer(LARGE, 1, "large4", LATER, NOW))
                .isEqualTo(new OfferResult.Refused<>(OfferResult.Reason.QUEUE_FULL));
    }

    @Test
    void expiredRequestsAreReturnedAsExpiredAndNotTaken() {
        queue.offer(LARGE, 1, "soon", NOW.plus(Duration.ofMillis(10)), NOW);
        queue.offer(LARGE, 1, "late", LATER, NOW);

        Selection<String> s = queue.take(NOW.plus(Duration.ofMillis(10)));

        assertThat(s.expired()).extracting(Ticket::item).containsExactly("soon");
        assertThat(s.next()).map(Ticket::item).contains("late");
    }

    @Test
    void cancelledRequestIsNotTaken() {
        Ticket<String> ticket = ((OfferResult.Queued<String>) queue.offer(LARGE, 1, "gone", LATER, NOW)).ticket();

        assertThat(queue.cancel(ticket)).isTrue();
        assertThat(queue.cancel(ticket)).isFalse();
        assertThat(queue.take(NOW).next()).isEmpty();
    }

    private void offer(ClientAccountName account, int weight, int count) {
        IntStream.range(0, count).forEach(i -> queue.offer(account, weight, account.value() + i, LATER, NOW));
    }

    private List<String> takeAll() {
        return IntStream.range(0, queue.size())
                .mapToObj(i -> queue.take(NOW).next().orElseThrow().item())
                .toList();
    }
}
