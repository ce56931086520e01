package org.lycheetray.core.ledger;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** Length of the periods, in UTC, for which totals are computed. */
public enum LedgerPeriod {
    /** One total per hour. */
    HOUR,
    /** One total per day. */
    DAY,
    /** One total per calendar month. */
    MONTH,
    /** One total over the whole time. */
    ALL;

    /**
     * Returns the start of the period that contains an instant.
     *
     * @param time the instant
     * @return the start, the epoch for {@link #ALL}
     */
    public Instant start(Instant time) {
        return switch (this) {
            case HOUR -> time.truncatedTo(ChronoUnit.HOURS);
            case DAY -> time.truncatedTo(ChronoUnit.DAYS);
            case MONTH ->
                LocalDate.ofInstant(time, ZoneOffset.UTC)
                        .withDayOfMonth(1)
                        .atStartOfDay(ZoneOffset.UTC)
                        .toInstant();
            case ALL -> Instant.EPOCH;
        };
    }

    /**
     * Returns the name used on the command line.
     *
     * @return the lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
