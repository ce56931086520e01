package org.lycheetray.cli.internal;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Either;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.cli.ExitCode;
import org.lycheetray.core.ledger.LedgerGap;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerReport;
import org.lycheetray.core.ledger.LedgerSegment;
import org.lycheetray.core.ledger.LedgerTotal;
import org.lycheetray.platform.PlatformClient;
import org.lycheetray.platform.ledger.LedgerReader;
import org.lycheetray.platform.ledger.UnreadableSegment;

/** Prints totals of the ledger per client account and period, or its single lines, and reports the ledger's gaps. */
final class AccountsCommand implements Command {
    @Override
    public List<String> words() {
        return List.of("accounts");
    }

    @Override
    public String arguments() {
        return "[--from T] [--to T] [--account NAME] [--lines]";
    }

    @Override
    public String summary() {
        return "request totals per client account and period, from the ledger";
    }

    @Override
    public Options options() {
        return LedgerQuery.options();
    }

    @Override
    public ExitCode run(CommandContext context, CommandLine line) throws CommandException {
        LedgerQuery query = LedgerQuery.parse(line, context.clock().instant());
        try (PlatformClient platform = context.createPlatformClient(line)) {
            ReportPrinter printer = new ReportPrinter(context, query);
            new LedgerReader(platform.objects())
                    .readPeriod(query.from(), query.to())
                    .doOnNext(printer::add)
                    .blockLast();
            return printer.finish();
        }
    }

    /** Collects the segments of a report and prints the report. CSV and table lines are printed as segments arrive. */
    private static final class ReportPrinter {
        private final CommandContext context;
        private final LedgerQuery query;
        private final LedgerReport report;
        private final List<UnreadableSegment> unreadable = new ArrayList<>();
        private final ObjectNode json = JsonNodeFactory.instance.objectNode();
        private final ArrayNode jsonLines = JsonNodeFactory.instance.arrayNode();

        ReportPrinter(CommandContext context, LedgerQuery query) {
            this.context = context;
            this.query = query;
            this.report = new LedgerReport(query.from(), query.to(), query.period());
            if (query.lines() && query.format() == LedgerQuery.Format.CSV) {
                context.out().println(LedgerOutput.LINE_CSV);
            }
        }

        void add(Either<UnreadableSegment, LedgerSegment> read) {
            read.peek(s -> {
                report.add(s);
                if (query.lines()) {
                    s.lines().stream().filter(query::matches).forEach(this::print);
                }
            });
            read.peekLeft(unreadable::add);
        }

        /** Prints totals and gaps. Open gaps do not make the report incomplete, as the process may still be running. */
        ExitCode finish() {
            if (!query.lines()) {
                printTotals(report.totals().stream()
                        .filter(t -> query.matches(t.account()))
                        .toList());
            }
            Instant listedFrom = query.from().truncatedTo(ChronoUnit.DAYS);
            List<LedgerGap> gaps = report.gaps(listedFrom).stream()
                    .filter(g -> g.to().isAfter(query.from()) && g.from().isBefore(query.to()))
                    .toList();
            printGaps(gaps);
            boolean complete = gaps.stream().allMatch(g -> g.kind() == LedgerGap.Kind.OPEN);
            return complete && unreadable.isEmpty() ? ExitCode.OK : ExitCode.INCOMPLETE;
        }

        private void print(LedgerLine l) {
            switch (query.format()) {
                case TABLE -> context.out().println(LedgerOutput.lineRow(l));
                case CSV -> context.out().println(LedgerOutput.lineCsv(l));
                case JSON -> jsonLines.add(LedgerOutput.lineJson(l));
            }
        }

        private void printTotals(List<LedgerTotal> totals) {
            switch (query.format()) {
                case TABLE -> {
                    context.out().println(LedgerOutput.totalHeading());
                    totals.forEach(t -> context.out().println(LedgerOutput.totalRow(t)));
                }
                case CSV -> {
                    context.out().println(LedgerOutput.TOTAL_CSV);
                    totals.forEach(t -> context.out().println(LedgerOutput.totalCsv(t)));
                }
                case JSON -> {
                    ArrayNode rows = json.putArray("totals");
                    totals.forEach(t -> rows.add(LedgerOutput.totalJson(t)));
                }
            }
        }

        private void printGaps(List<LedgerGap> gaps) {
            if (query.format() == LedgerQuery.Format.JSON) {
                printJson(gaps);
                return;
            }
            gaps.forEach(g -> context.err().println(LedgerOutput.gapRow(g)));
            unreadable.forEach(u -> context.err().println("unreadable: " + u.name() + ": " + u.problem()));
        }

        private void printJson(List<LedgerGap> gaps) {
            if (query.lines()) {
                json.set("lines", jsonLines);
            }
            ArrayNode gapRows = json.putArray("gaps");
            gaps.forEach(g -> gapRows.add(LedgerOutput.gapJson(g)));
            ArrayNode unreadableRows = json.putArray("unreadable");
            unreadable.forEach(
                    u -> unreadableRows.addObject().put("name", u.name()).put("problem", u.problem()));
            context.printJson(json);
        }
    }
}
