package org.lycheetray.core.ledger;

import java.time.Instant;
import java.time.LocalDate;
import java.time.ZoneOffset;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.NameUtil;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.VmName;

/**
 * Object names of ledger segments: {@code ledger/DAY/VM/INCARNATION/NUMBER}. The day is the UTC date of sealing.
 *
 * <p>Numbers are zero-padded so that names sort in the order of writing. The day comes first so that a report lists
 * only the segments of its period.
 */
public final class LedgerNames {
    private static final String ROOT = "ledger/";
    private static final int REQUEST_ID_PARTS = 3;
    private static final int REQUEST_ID_RADIX = 36;

    private LedgerNames() {}

    /**
     * Returns the object name of a segment.
     *
     * @param s the segment
     * @return the name
     */
    public static String of(LedgerSegment s) {
        return "%s%08d".formatted(prefix(day(s.sealedAt()), s.incarnation()), s.number());
    }

    /**
     * Returns the common name prefix of one day.
     *
     * @param day the day in UTC
     * @return the prefix
     */
    public static String prefix(LocalDate day) {
        return ROOT + day + "/";
    }

    /**
     * Returns the common name prefix of one day and one incarnation.
     *
     * @param day the day in UTC
     * @param incarnation the incarnation
     * @return the prefix
     */
    public static String prefix(LocalDate day, Incarnation incarnation) {
        return String.format(Locale.ROOT, "%s%s/%016d/", prefix(day), incarnation.vm(), incarnation.number());
    }

    /**
     * Returns the days whose segments may contain lines of a period.
     *
     * @param from start of the period
     * @param to end of the period, exclusive
     * @return the days in order, including one day after the period because lines are written when requests end
     */
    public static List<LocalDate> days(Instant from, Instant to) {
        LocalDate end = day(to.isAfter(from) ? to : from);
        return day(from).datesUntil(end.plusDays(2)).toList();
    }

    /**
     * Returns the incarnation that handled a request, from a request identifier of the form {@code
     * VM.INCARNATION.NUMBER}.
     *
     * @param id the request identifier
     * @return the incarnation, empty if the identifier has a different form
     */
    public static Optional<Incarnation> incarnation(RequestId id) {
        String[] parts = id.value().split("\\.", -1);
        if (parts.length != REQUEST_ID_PARTS || !NameUtil.isName(parts[0])) {
            return Optional.empty();
        }
        try {
            return Optional.of(new Incarnation(new VmName(parts[0]), Long.parseLong(parts[1], REQUEST_ID_RADIX)));
        } catch (NumberFormatException _) {
            return Optional.empty();
        }
    }

    private static LocalDate day(Instant time) {
        return LocalDate.ofInstant(time, ZoneOffset.UTC);
    }
}
