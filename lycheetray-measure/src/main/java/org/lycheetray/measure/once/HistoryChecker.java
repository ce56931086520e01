package org.lycheetray.measure.once;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.lycheetray.core.model.Outcome;

/**
 * Judges a whole history after everything has come to rest.
 *
 * <p>A {@code not-run} is false if the sending itself was run, or if its key was run although nobody who sent the key
 * was told anything but {@code not-run}. A {@code not-run} for a resend while an earlier sending of the key has run is
 * true of the resend; such cases are counted apart.
 */
public final class HistoryChecker {
    private HistoryChecker() {}

    /**
     * What was found.
     *
     * @param doubleRuns keys that ran more than once
     * @param falseNotRun sendings that were told {@code not-run} wrongly
     * @param wrongAnswers answers that are not the whole answer to the key's own run
     * @param untold sendings that were told nothing although the process and connection that served them lived
     * @param unknown sendings that were told {@code unknown}
     * @param notRunBesideRun sendings that truly did not run, told so while another sending of their key ran
     * @param sent sendings
     */
    public record Findings(
            int doubleRuns, int falseNotRun, int wrongAnswers, int untold, int unknown, int notRunBesideRun, int sent) {
        /**
         * Tells whether a promise was broken.
         *
         * @return true if anything with a bound of zero was found
         */
        public boolean isBroken() {
            return doubleRuns + falseNotRun + wrongAnswers + untold > 0;
        }
    }

    /**
     * Checks a history.
     *
     * @param h the history
     * @return what was found
     */
    public static Findings check(History h) {
        return new Checking(h).findings();
    }

    /** One pass over a history. */
    private static final class Checking {
        private final History history;
        private final Map<String, List<History.Execution>> runs;
        private final Set<String> runRequests;
        private final Map<String, History.Sent> sent;
        private final Set<String> keysToldMore;
        private final Set<String> keysRunSoFar = new HashSet<>();
        private final Set<String> told = new HashSet<>();
        private int falseNotRun;
        private int notRunBesideRun;
        private int wrongAnswers;
        private int unknown;

        Checking(History h) {
            history = h;
            List<History.Execution> all = h.events(History.Execution.class);
            runs = all.stream().collect(Collectors.groupingBy(History.Execution::key));
            runRequests = all.stream().map(History.Execution::request).collect(Collectors.toSet());
            sent = h.events(History.Sent.class).stream()
                    .collect(Collectors.toMap(History.Sent::request, Function.identity()));
            keysToldMore = h.events(History.Told.class).stream()
                    .filter(t -> t.excused() || t.outcome() != Outcome.NOT_RUN)
                    .map(t -> sent.get(t.request()).key())
                    .collect(Collectors.toSet());
        }

        Findings findings() {
            for (History.Event e : history.events()) {
                switch (e) {
                    case History.Sent s -> {}
                    case History.Execution x -> keysRunSoFar.add(x.key());
                    case History.Told t -> judge(t, sent.get(t.request()));
                }
            }
            int doubleRuns =
                    (int) runs.values().stream().filter(r -> r.size() > 1).count();
            int untold = sent.size() - told.size();
            return new Findings(doubleRuns, falseNotRun, wrongAnswers, untold, unknown, notRunBesideRun, sent.size());
        }

        private void judge(History.Told t, History.Sent s) {
            told.add(t.request());
            if (t.excused()) {
                return;
            }
            switch (t.outcome()) {
                case ANSWERED -> wrongAnswers += isWrong(t, s) ? 1 : 0;
                case UNKNOWN -> unknown++;
                case NOT_RUN -> judgeNotRun(t, s);
            }
        }

        private void judgeNotRun(History.Told t, History.Sent s) {
            boolean othersDeny = runs.containsKey(s.key()) && !keysToldMore.contains(s.key());
            if (runRequests.contains(t.request()) || othersDeny) {
                falseNotRun++;
            } else if (keysRunSoFar.contains(s.key())) {
                notRunBesideRun++;
            }
        }

        private boolean isWrong(History.Told t, History.Sent s) {
            return runs.getOrDefault(s.key(), List.of()).stream()
                    .filter(r -> sent.get(r.request()).content().equals(s.content()))
                    .noneMatch(r -> r.answer().equals(t.answer()));
        }
    }
}
