package org.lycheetray.cli.internal;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.format.DateTimeParseException;
import java.time.temporal.ChronoUnit;
import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.ledger.LedgerPeriod;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.NameUtil;

/**
 * What a report on the ledger asks for.
 *
 * @param from start of the time reported on
 * @param to its end, excluded
 * @param period length for which totals are formed
 * @param account the only client account wanted, empty for all
 * @param lines true for single lines in place of totals
 * @param format form of the output
 */
record LedgerQuery(
        Instant from, Instant to, LedgerPeriod period, Optional<String> account, boolean lines, Format format) {
    private static final String FROM = "from";
    private static final String TO = "to";
    private static final String PERIOD = "period";
    private static final String ACCOUNT = "account";
    private static final String LINES = "lines";
    private static final String FORMAT = "format";

    /** Form of the output. */
    enum Format {
        TABLE,
        CSV,
        JSON
    }

    static Options options() {
        return new Options()
                .addOption(null, FROM, true, "start, 2026-12-04 or 2026-12-04T05:00:00Z; else the start of today, UTC")
                .addOption(null, TO, true, "end, excluded; else now")
                .addOption(null, PERIOD, true, "hour, day, month or all; else day")
                .addOption(null, ACCOUNT, true, "only this client account; 'none' for requests without one")
                .addOption(null, LINES, false, "every request in place of totals")
                .addOption(null, FORMAT, true, "table, csv or json; else table");
    }

    static LedgerQuery parse(CommandLine line, Instant now) throws CommandException {
        Instant from = line.hasOption(FROM) ? time(FROM, line.getOptionValue(FROM)) : now.truncatedTo(ChronoUnit.DAYS);
        Instant to = line.hasOption(TO) ? time(TO, line.getOptionValue(TO)) : now;
        if (!from.isBefore(to)) {
            throw CommandException.usage("--from must be before --to: %s, %s".formatted(from, to));
        }
        return new LedgerQuery(
                from,
                to,
                choice(PERIOD, LedgerPeriod.values(), line.getOptionValue(PERIOD, "day")),
                account(line),
                line.hasOption(LINES),
                choice(
                        FORMAT,
                        Format.values(),
                        line.getOptionValue(FORMAT, line.hasOption("json") ? "json" : "table")));
    }

    /** Tells whether a client account is wanted; empty stands for requests without one. */
    boolean wants(Optional<ClientAccountName> candidate) {
        return account.isEmpty()
                || account.get().equals(candidate.map(ClientAccountName::value).orElse(""));
    }

    boolean wants(LedgerLine l) {
        return !l.time().isBefore(from) && l.time().isBefore(to) && wants(l.account());
    }

    private static Optional<String> account(CommandLine line) throws CommandException {
        String text = line.getOptionValue(ACCOUNT);
        if (text == null) {
            return Optional.empty();
        }
        if (!NameUtil.isName(text)) {
            throw CommandException.usage("--account is a name but was " + text);
        }
        return Optional.of(text.equals("none") ? "" : text);
    }

    private static Instant time(String option, String text) throws CommandException {
        try {
            return text.contains("T")
                    ? Instant.parse(text)
                    : LocalDate.parse(text).atStartOfDay(ZoneOffset.UTC).toInstant();
        } catch (DateTimeParseException _) {
            throw CommandException.usage(
                    "--%s is a date or a time in UTC, 2026-12-04T05:00:00Z, but was %s".formatted(option, text));
        }
    }

    private static <E extends Enum<E>> E choice(String option, E[] values, String text) throws CommandException {
        return Arrays.stream(values)
                .filter(v -> v.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(() -> CommandException.usage("--%s is one of %s but was %s"
                        .formatted(option, Arrays.toString(values).toLowerCase(Locale.ROOT), text)));
    }
}
