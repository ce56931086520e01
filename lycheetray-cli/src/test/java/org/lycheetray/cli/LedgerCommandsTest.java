package org.lycheetray.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheetray.cli.internal.CommandContext;
import org.lycheetray.core.ledger.LedgerCodec;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerNames;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.PlatformSettings;
import org.lycheetray.standin.platform.PlatformStandinServer;
import org.lycheetray.standin.platform.PlatformStandinSettings;

class LedgerCommandsTest {
    private static final Instant TIME = Instant.parse("2026-12-04T05:00:00Z");
    private static final Incarnation VM = new Incarnation(new VmName("de-a-1"), TIME.toEpochMilli());
    private static final String ID = "de-a-1." + Long.toString(VM.number(), 36) + ".1";

    private final PlatformStandinServer platform = PlatformStandinServer.create(PlatformStandinSettings.anyPort());
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @AfterEach
    void stop() {
        platform.close();
    }

    @Test
    void totalsAreSummedPerClientAccount() {
        store(segment(0, 0, false, line("members", Outcome.ANSWERED, "nearest")));
        store(segment(1, 1, true, line("members", Outcome.NOT_RUN, "over-rate"), line("", Outcome.NOT_RUN, "no-key")));

        assertThat(accounts("--format", "csv")).isEqualTo(ExitCode.OK);

        assertThat(text(out).lines())
                .containsExactly(
                        "period,account,requests,answered,not_run,unknown,reasons",
                        "2026-12-04T00:00:00Z,,1,0,1,0,no-key=1",
                        "2026-12-04T00:00:00Z,members,2,1,1,0,nearest=1 over-rate=1");
    }

    @Test
    void missingSegmentIsReportedAndChangesExitCode() {
        store(segment(0, 0, false));
        store(segment(2, 5, true));

        assertThat(accounts()).isEqualTo(ExitCode.INCOMPLETE);

        assertThat(text(err)).contains("missing segment: de-a-1@1796360400000 from segment 1, 5 requests");
    }

    @Test
    void unreadableObjectIsReported() {
        try (PlatformClient client = client()) {
            client.objects()
                    .putIfAbsent("ledger/2026-12-04/de-a-1/0/0", new byte[] {1})
                    .block();
        }

        assertThat(accounts("--json")).isEqualTo(ExitCode.INCOMPLETE);

        assertThat(text(out)).contains("ledger/2026-12-04/de-a-1/0/0");
    }

    @Test
    void listsLinesOfOneClientAccount() {
        store(segment(
                0,
                0,
                true,
                line("members", Outcome.ANSWERED, "nearest"),
                line("web-shop", Outcome.ANSWERED, "nearest")));

        assertThat(accounts("--lines", "--account", "members", "--format", "csv"))
                .isEqualTo(ExitCode.OK);

        assertThat(text(out).lines()).hasSize(2);
        assertThat(text(out)).contains(TIME + "," + ID + ",members,").doesNotContain("web-shop");
    }

    @Test
    void explainsOneRequest() {
        store(segment(0, 0, true, line("members", Outcome.NOT_RUN, "over-rate")));

        assertThat(run("explain", ID)).isEqualTo(ExitCode.OK);

        assertThat(text(out)).contains("over-rate").contains("config       3").contains("de-a-1");
    }

    @Test
    void requestWithoutLineIsReported() {
        store(segment(0, 0, true));

        assertThat(run("explain", ID)).isEqualTo(ExitCode.FAILED);
        assertThat(text(err)).contains("no line of " + ID);
    }

    @Test
    void invalidArgumentsAreUsageErrors() {
        assertThat(run("explain", "nonsense")).isEqualTo(ExitCode.USAGE);
        assertThat(run("accounts", "--from", "yesterday")).isEqualTo(ExitCode.USAGE);
        assertThat(run("accounts", "--period", "decade")).isEqualTo(ExitCode.USAGE);
    }

    private ExitCode accounts(String... options) {
        List<String> args = new ArrayList<>(List.of("accounts", "--from", "2026-12-04", "--to", "2026-12-05"));
        args.addAll(List.of(options));
        return run(args.toArray(String[]::new));
    }

    private ExitCode run(String... args) {
        CommandContext context = new CommandContext(
                InputStream.nullInputStream(),
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                Map.of("LYCHEETRAY_PLATFORM", platform.url().toString()),
                new FixedClock());
        return Lycheetray.run(context, List.of(args));
    }

    private void store(LedgerSegment s) {
        try (PlatformClient client = client()) {
            client.objects()
                    .putIfAbsent(LedgerNames.of(s), LedgerCodec.encode(s))
                    .block();
        }
    }

    private PlatformClient client() {
        return PlatformClient.create(new PlatformSettings(platform.url()));
    }

    private static LedgerSegment segment(long number, long before, boolean last, LedgerLine... lines) {
        return new LedgerSegment(VM, number, TIME.plusSeconds(number), before, 0, last, List.of(lines), List.of());
    }

    private static LedgerLine line(String account, Outcome outcome, String reason) {
        return new LedgerLine(
                TIME,
                new RequestId(ID),
                Optional.of(account).filter(a -> !a.isEmpty()).map(ClientAccountName::new),
                Optional.empty(),
                Optional.empty(),
                outcome,
                reason,
                new ConfigVersion(3),
                Optional.empty(),
                0,
                200);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }

    /** A clock fixed at one day after the requests. */
    private static final class FixedClock implements Clock {
        @Override
        public Instant instant() {
            return TIME.plus(Duration.ofDays(1));
        }

        @Override
        public MonotonicTime monotonic() {
            return MonotonicTime.ZERO;
        }
    }
}
