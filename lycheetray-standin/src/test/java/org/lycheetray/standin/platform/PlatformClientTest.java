package org.lycheetray.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.PlatformSettings;
import org.lycheetray.platform.PutResult;
import org.lycheetray.platform.VmListing;
import org.lycheetray.platform.WriteResolvingTableService;

class PlatformClientTest {
    private static final RowKey KEY = new RowKey("a key/with ?&=%");
    private static final RowChange PUT = new RowChange.Put(KEY, RowChange.ABSENT, "{\"n\":1}");

    private final PlatformStandinServer platform = PlatformStandinServer.create(PlatformStandinSettings.anyPort()
            .vms(List.of(new VmName("olwyn-1")))
            .budget(50, 2_000));
    private final PlatformClient client = client(platform.url());

    @AfterEach
    void stop() {
        client.close();
        platform.close();
    }

    @Test
    void writesReadsAndReportsConflicts() {
        assertThat(write(PUT)).isEqualTo(new WriteResult.Applied(1));
        assertThat(client.tables().read(KEY).block()).contains(new Row(KEY, 1, "{\"n\":1}"));
        assertThat(write(PUT)).isEqualTo(new WriteResult.Conflict(List.of(new Row(KEY, 1, "{\"n\":1}"))));
    }

    @Test
    void scansGoOnWhereThePageEnded() {
        IntStream.range(0, 7).forEach(i -> write(new RowChange.Put(new RowKey("p/" + i), RowChange.ABSENT, "v")));

        var first = client.tables().scan("p/", 4).block();
        var rest = client.tables().scan("p/", first.next(), 4).block();

        assertThat(first.rows()).hasSize(4);
        assertThat(rest.rows()).hasSize(3);
        assertThat(rest.next()).isEmpty();
    }

    @Test
    void lostAnswerOfAWriteIsUnknownAndSettledByReadingBack() {
        platform.faults().setLostAnswerShare(1);
        assertThat(write(PUT)).isInstanceOf(WriteResult.Unknown.class);

        platform.faults().setLostAnswerShare(0.5);
        var settling = new WriteResolvingTableService(client.tables(), 20, Duration.ofMillis(1));
        WriteResult second =
                settling.write(List.of(new RowChange.Put(KEY, 1, "second"))).block();

        assertThat(second).isInstanceOf(WriteResult.Applied.class);
        assertThat(client.tables().read(KEY).block())
                .hasValueSatisfying(r -> assertThat(r.value()).isEqualTo("second"));
    }

    @Test
    void outageFailsReadsWithStepAndPeer() {
        platform.faults().setDown(true);

        assertThatThrownBy(() -> client.tables().read(KEY).block())
                .isInstanceOfSatisfying(PlatformException.class, e -> {
                    assertThat(e.step()).isEqualTo("table.read");
                    assertThat(e.peer()).isEqualTo(platform.url().getAuthority());
                });
    }

    @Test
    void slowPlatformTimesOutAndTheWriteStaysInDoubt() {
        platform.faults().setDelay(Duration.ofSeconds(5));

        assertThat(write(PUT)).isInstanceOf(WriteResult.Unknown.class);
    }

    @Test
    void unreachablePlatformProvesThatNothingWasWritten() throws Exception {
        int free;
        try (ServerSocket s = new ServerSocket(0)) {
            free = s.getLocalPort();
        }
        try (PlatformClient lost = client(URI.create("http://127.0.0.1:" + free))) {
            assertThatThrownBy(() -> lost.tables().write(List.of(PUT)).block()).isInstanceOf(PlatformException.class);
        }
    }

    @Test
    void writesBeyondTheBudgetAreRefusedAsNotWritten() {
        List<RowKey> keys =
                IntStream.range(0, 80).mapToObj(i -> new RowKey("k" + i)).toList();
        List<RowKey> refused = keys.stream()
                .filter(k -> {
                    try {
                        return !(write(new RowChange.Put(k, RowChange.ABSENT, "v")) instanceof WriteResult.Applied);
                    } catch (PlatformException e) {
                        return true;
                    }
                })
                .toList();

        assertThat(client.tables().scanAll("k").map(Row::key).collectList().block())
                .doesNotContainAnyElementsOf(refused)
                .hasSize(80 - refused.size());
    }

    @Test
    void objectsAreNeverChanged() {
        byte[] one = "one".getBytes(StandardCharsets.UTF_8);
        byte[] two = "two".getBytes(StandardCharsets.UTF_8);

        assertThat(client.objects().putIfAbsent("o/1", one).block()).isEqualTo(PutResult.STORED);
        assertThat(client.objects().putIfAbsent("o/1", one).block()).isEqualTo(PutResult.STORED);
        assertThat(client.objects().putIfAbsent("o/1", two).block()).isEqualTo(PutResult.TAKEN);
        assertThat(client.objects().get("o/1").block()).contains(one);
        assertThat(client.objects().listAll("o/").collectList().block()).containsExactly("o/1");
    }

    @Test
    void listsVms() {
        assertThat(client.vms().current().block().find(new VmName("olwyn-1")))
                .contains(new VmListing.ListedVm(new VmName("olwyn-1"), VmListing.State.LIVE));
    }

    private WriteResult write(RowChange... changes) {
        return client.tables().write(List.of(changes)).block();
    }

    private static PlatformClient client(URI url) {
        return PlatformClient.create(new PlatformSettings(url)
                .timeout(Duration.ofSeconds(2))
                .retries(1)
                .retryPause(Duration.ofMillis(5)));
    }
}
