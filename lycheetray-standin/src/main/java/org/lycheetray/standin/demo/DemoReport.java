package org.lycheetray.standin.demo;

import java.io.PrintStream;
import java.util.Locale;

/** Prints a line for each check and counts what failed. */
final class DemoReport {
    private static final String ROW = "%-34s %-18s %6s %-9s %-22s %-16s %7s  %s%n";

    private final PrintStream out;
    private int passed;
    private int failed;

    DemoReport(PrintStream out) {
        this.out = out;
    }

    /** Prints the head of the table. */
    void header() {
        out.printf(ROW, "request", "entry VM", "status", "outcome", "reason", "backend server", "ms", "check");
    }

    /** Reports one request and whether its answer is as it should be. */
    void answer(DemoRequest r, DemoAnswer a, boolean good) {
        String ms = String.format(Locale.ROOT, "%.1f", a.time().toNanos() / 1e6);
        String verdict = count(good);
        out.printf(
                ROW,
                r.what(),
                r.vm().name(),
                a.status(),
                dash(a.outcome()),
                dash(a.reason()),
                dash(a.server()),
                ms,
                verdict);
    }

    /** Reports a statement about several requests. */
    void statement(String text, boolean good) {
        out.printf("%s: %s%n", text, count(good));
    }

    /** Prints the totals; true if nothing failed. */
    boolean finish() {
        out.printf("demo: %d passed, %d failed%n", passed, failed);
        return failed == 0;
    }

    private String count(boolean good) {
        if (good) {
            passed++;
            return "ok";
        }
        failed++;
        return "WRONG";
    }

    private static String dash(String text) {
        return text.isEmpty() ? "-" : text;
    }
}
