package org.lycheetray.measure.once;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
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
        Map<String, List<History.Execution>> runs =
                h.executions().stream().collect(Collectors.groupingBy(History.Execution::key));
        Set<String> runRequests =
                h.executions().stream().map(History.Execution::request).collect(Collectors.toSet());
        Map<String, History.Sent> sent = new HashMap<>();
        h.sent().forEach(s -> sent.put(s.request(), s));
        Set<String> told = new HashSet<>();
        Set<String> keysToldMore = keysToldMore(h, sent);
        int falseNotRun = 0;
        int besideRun = 0;
        int wrong = 0;
        for (History.Told t : h.told()) {
            told.add(t.request());
            History.Sent s = sent.get(t.request());
            boolean keyRan = runs.containsKey(s.key());
            boolean notRun = !t.excused() && t.outcome() == Outcome.NOT_RUN;
            boolean isFalse = runRequests.contains(t.request()) || (keyRan && !keysToldMore.contains(s.key()));
            falseNotRun += notRun && isFalse ? 1 : 0;
            besideRun += notRun && !isFalse && keyRan ? 1 : 0;
            wrong += isWrong(t, s, runs.getOrDefault(s.key(), List.of()), sent) ? 1 : 0;
        }
        int doubleRuns = (int) runs.values().stream().filter(r -> r.size() > 1).count();
        int unknown = (int) h.told().stream()
                .filter(t -> !t.excused() && t.outcome() == Outcome.UNKNOWN)
                .count();
        return new Findings(doubleRuns, falseNotRun, wrong, sent.size() - told.size(), unknown, besideRun, sent.size());
    }

    private static Set<String> keysToldMore(History h, Map<String, History.Sent> sent) {
        return h.told().stream()
                .filter(t -> t.excused() || t.outcome() != Outcome.NOT_RUN)
                .map(t -> sent.get(t.request()).key())
                .collect(Collectors.toSet());
    }

    private static boolean isWrong(
            History.Told t, History.Sent s, List<History.Execution> runs, Map<String, History.Sent> sent) {
        return !t.excused()
                && t.outcome() == Outcome.ANSWERED
                && runs.stream()
                        .filter(r -> sent.get(r.request()).content().equals(s.content()))
                        .noneMatch(r -> r.answer().equals(t.answer()));
    }
}
