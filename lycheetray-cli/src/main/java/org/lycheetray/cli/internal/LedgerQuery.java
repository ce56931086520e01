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
 * Parameters of a ledger report.
 *
 * @param from start of the reported time range, inclusive
 * @param to end of the reported time range, exclusive
 * @param period length of the periods that totals are computed for
 * @param account client account to report on, the empty string for requests without an account, or empty for all
 *     requests
 * @param lines whether to list single lines instead of totals
 * @param format output format
 */
record LedgerQuery(
        Instant from, Instant to, LedgerPeriod period, Optional<String> account, boolean lines, Format format) {
    private static final String FROM = "from";
    private static final String TO = "to";
    private static final String PERIOD = "period";
    private static final String ACCOUNT = "account";
    private static final String LINES = "lines";
    private static final String FORMAT = "format";

    /** Output format. */
    enum Format {
        TABLE,
        CSV,
        JSON
    }

    static Options options() {
        return new Options()
                .addOption(
                        null,
                        FROM,
                        true,
                        "start in UTC, as 2026-12-04 or 2026-12-04T05:00:00Z; default: start of today")
                .addOption(null, TO, true, "end in UTC, exclusive; default: now")
                .addOption(null, PERIOD, true, "hour, day, month or all; default: day")
                .addOption(null, ACCOUNT, true, "only this client account; 'none' selects requests without an account")
                .addOption(null, LINES, false, "list single requests instead of totals")
                .addOption(null, FORMAT, true, "table, csv or json; default: table, or json with --json");
    }

    static LedgerQuery parse(CommandLine line, Instant now) throws CommandException {
        Instant from =
                line.hasOption(FROM) ? parseTime(FROM, line.getOptionValue(FROM)) : now.truncatedTo(ChronoUnit.DAYS);
        Instant to = line.hasOption(TO) ? parseTime(TO, line.getOptionValue(TO)) : now;
        if (!from.isBefore(to)) {
            throw CommandException.usage("--from must be before --to but was %s, with --to %s".formatted(from, to));
        }
        return new LedgerQuery(
                from,
                to,
                parseEnum(PERIOD, LedgerPeriod.values(), line.getOptionValue(PERIOD, "day")),
                parseAccount(line),
                line.hasOption(LINES),
                parseEnum(
                        FORMAT,
                        Format.values(),
                        line.getOptionValue(FORMAT, line.hasOption("json") ? "json" : "table")));
    }

    /** Returns whether the report covers a client account; an empty value stands for requests without an account. */
    boolean matches(Optional<ClientAccountName> candidate) {
        return account.isEmpty()
                || account.get().equals(candidate.map(ClientAccountName::value).orElse(""));
    }

    /** Returns whether the report covers a line, by time and client account. */
    boolean matches(LedgerLine l) {
        return !l.time().isBefore(from) && l.time().isBefore(to) && matches(l.account());
    }

    private static Optional<String> parseAccount(CommandLine line) throws CommandException {
        String text = line.getOptionValue(ACCOUNT);
        if (text == null) {
            return Optional.empty();
        }
        if (!NameUtil.isName(text)) {
            throw CommandException.usage("--account must be a valid account name but was " + text);
        }
        return Optional.of(text.equals("none") ? "" : text);
    }

    private static Instant parseTime(String option, String text) throws CommandException {
        try {
            return text.contains("T")
                    ? Instant.parse(text)
                    : LocalDate.parse(text).atStartOfDay(ZoneOffset.UTC).toInstant();
        } catch (DateTimeParseException _) {
            throw CommandException.usage(
                    "--%s must be a date or a time in UTC, as 2026-12-04 or 2026-12-04T05:00:00Z, but was %s"
                            .formatted(option, text));
        }
    }

    private static <E extends Enum<E>> E parseEnum(String option, E[] values, String text) throws CommandException {
        return Arrays.stream(values)
                .filter(v -> v.name().toLowerCase(Locale.ROOT).equals(text))
                .findFirst()
                .orElseThrow(() -> CommandException.usage("--%s must be one of %s but was %s"
                        .formatted(option, Arrays.toString(values).toLowerCase(Locale.ROOT), text)));
    }
}
