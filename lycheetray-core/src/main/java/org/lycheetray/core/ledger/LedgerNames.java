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
 * Names of the ledger's objects: {@code ledger/DAY/VM/INCARNATION/NUMBER}, where the day is that of sealing in UTC.
 *
 * <p>Numbers are padded so that names sort in the order of writing. The day comes first, so that a report on a period
 * lists only the period's segments.
 */
public final class LedgerNames {
    private static final String ROOT = "ledger/";
    private static final int REQUEST_ID_PARTS = 3;
    private static final int REQUEST_ID_RADIX = 36;

    private LedgerNames() {}

    /**
     * Names the object of a segment.
     *
     * @param s the segment
     * @return the name
     */
    public static String of(LedgerSegment s) {
        return "%s%08d".formatted(prefix(day(s.sealedAt()), s.incarnation()), s.number());
    }

    /**
     * Gives what the names of one day start with.
     *
     * @param day a day in UTC
     * @return the prefix
     */
    public static String prefix(LocalDate day) {
        return ROOT + day + "/";
    }

    /**
     * Gives what the names of one day and one process start with.
     *
     * @param day a day in UTC
     * @param incarnation the process
     * @return the prefix
     */
    public static String prefix(LocalDate day, Incarnation incarnation) {
        return String.format(Locale.ROOT, "%s%s/%016d/", prefix(day), incarnation.vm(), incarnation.number());
    }

    /**
     * Gives the days on which segments with lines of a period can have been sealed.
     *
     * @param from start of the period
     * @param to end of the period, excluded
     * @return the days in order; one more than the period has, since lines are written when requests end
     */
    public static List<LocalDate> days(Instant from, Instant to) {
        LocalDate end = day(to.isAfter(from) ? to : from);
        return day(from).datesUntil(end.plusDays(2)).toList();
    }

    /**
     * Finds the process that handled a request from the request's identity, {@code VM.INCARNATION.NUMBER}.
     *
     * @param id the identity
     * @return the process, or empty if the text has another form
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
