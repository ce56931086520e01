package org.lycheetray.edge.exchange;

import java.time.Duration;
import java.util.Locale;
import org.lycheetray.core.placement.AttemptOutcome;
import org.lycheetray.edge.backend.AttemptResult;

/** Says what the results of attempts mean for the log, for placement and for callers. */
final class AttemptResultUtil {
    private AttemptResultUtil() {}

    static String describe(AttemptResult result) {
        return switch (result) {
            case AttemptResult.Answer a -> Integer.toString(a.status());
            case AttemptResult.NotRun n -> "not-run:" + n.reason().name().toLowerCase(Locale.ROOT);
            case AttemptResult.Unknown u -> "unknown:" + u.cause();
        };
    }

    static AttemptOutcome outcome(AttemptResult result, Duration took) {
        return switch (result) {
            case AttemptResult.Answer a ->
                a.status() >= 500 ? new AttemptOutcome.ServerError(took) : new AttemptOutcome.Answered(took);
            case AttemptResult.Unknown u ->
                u.loss() == AttemptResult.Loss.PATH
                        ? new AttemptOutcome.PathLost()
                        : new AttemptOutcome.ConnectionLost();
            case AttemptResult.NotRun n ->
                switch (n.reason()) {
                    case UNREACHABLE -> new AttemptOutcome.Unreachable();
                    case MISDIRECTED -> new AttemptOutcome.Misdirected();
                    case SHED, NO_CONNECTION -> new AttemptOutcome.Shed();
                    case NO_PATH, DECLINED -> new AttemptOutcome.PathLost();
                };
        };
    }

    /** Releases the memory of a result that is not delivered. */
    static void release(AttemptResult result) {
        if (result instanceof AttemptResult.Answer a) {
            a.memory().close();
        }
    }
}
