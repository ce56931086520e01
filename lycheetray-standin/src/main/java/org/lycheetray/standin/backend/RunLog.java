package org.lycheetray.standin.backend;

import java.util.List;
import java.util.NavigableMap;
import java.util.TreeMap;

/** Remembers the latest runs of all servers. */
final class RunLog {
    private final NavigableMap<Long, Run> runs = new TreeMap<>();
    private final int limit;
    private long next;

    RunLog(int limit) {
        this.limit = limit;
    }

    synchronized Run add(Run run) {
        Run numbered = run.at(next++);
        runs.put(numbered.number(), numbered);
        if (runs.size() > limit) {
            runs.pollFirstEntry();
        }
        return numbered;
    }

    synchronized void end(Run run, long time, RunState how) {
        runs.computeIfPresent(run.number(), (_, r) -> r.ended(time, how));
    }

    synchronized void endIfRunning(Run run, long time, RunState how) {
        runs.computeIfPresent(run.number(), (_, r) -> r.state() == RunState.RUNNING ? r.ended(time, how) : r);
    }

    synchronized Runs since(long number) {
        return new Runs(List.copyOf(runs.tailMap(number).values()), next);
    }

    /**
     * Runs in JSON.
     *
     * @param runs the runs in order of their start
     * @param next number of the run that will come next
     */
    record Runs(List<Run> runs, long next) {
        Runs {
            runs = List.copyOf(runs);
        }
    }
}
