package org.lycheetray.core.ledger;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.time.temporal.ChronoUnit;
import java.util.Locale;

/** Lengths of periods for which totals are formed, in UTC. */
public enum LedgerPeriod {
    /** Every hour on its own. */
    HOUR,
    /** Every day on its own. */
    DAY,
    /** Every month on its own. */
    MONTH,
    /** All together. */
    ALL;

    /**
     * Gives the start of the period that holds a point in time.
     *
     * @param time the point
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
     * Gives the name used on command lines.
     *
     * @return the lower-case name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
