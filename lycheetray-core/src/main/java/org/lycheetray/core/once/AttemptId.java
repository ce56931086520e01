package org.lycheetray.core.once;

import java.util.Optional;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.NameUtil;
import org.lycheetray.core.model.VmName;

/**
 * Id of one attempt to claim an idempotency key, unique across the fleet and across restarts.
 *
 * @param holder process that made the attempt
 * @param number sequence number of the attempt in that process
 */
public record AttemptId(Incarnation holder, long number) {
    /**
     * Parses the text form.
     *
     * @param text text such as {@code vm-1@1700000000000#5}
     * @return the id, or empty if the text is malformed
     */
    public static Optional<AttemptId> parse(String text) {
        int at = text.indexOf('@');
        int hash = text.indexOf('#');
        if (at < 0 || hash < at || !NameUtil.isName(text.substring(0, at))) {
            return Optional.empty();
        }
        try {
            long incarnation = Long.parseLong(text.substring(at + 1, hash));
            long number = Long.parseLong(text.substring(hash + 1));
            return Optional.of(new AttemptId(new Incarnation(new VmName(text.substring(0, at)), incarnation), number));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return holder + "#" + number;
    }
}
