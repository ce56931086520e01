package org.lycheetray.edge.exchange;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.PlacementDecision;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.edge.backend.Attempt;

/**
 * An attempt of an exchange that has not ended.
 *
 * @param decision the decision by which it was sent
 * @param startedAt time at which it was started
 * @param attempt holds the attempt once it has been started, unless it ended at once
 */
record RunningAttempt(PlacementDecision.Send decision, MonotonicTime startedAt, AtomicReference<Attempt> attempt) {
    /** Returns whether bytes of the request may have reached the server. */
    boolean isSent() {
        return attempt.get() != null && attempt.get().isSent();
    }

    /** Returns the VM that sends the request in place of the local VM, if any. */
    Optional<VmName> relay() {
        return Optional.ofNullable(attempt.get()).flatMap(Attempt::relay);
    }

    /** Describes the end of the attempt for the request's log line. */
    String describe(Duration took, String result) {
        String via = relay().map(vm -> "via " + vm + " ").orElse("");
        return decision.name() + " " + via + took.toMillis() + "ms " + result;
    }
}
