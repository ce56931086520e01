package org.lycheetray.measure;

import java.io.PrintStream;
import java.util.Locale;

/** Prints results as {@code figure value unit} and remembers whether a bound was broken. */
public final class Figures {
    private final PrintStream out;
    private int broken;

    /**
     * Creates an empty collection.
     *
     * @param out receives a line per figure
     */
    public Figures(PrintStream out) {
        this.out = out;
    }

    /**
     * Reports a figure without a bound.
     *
     * @param figure name of the figure, hyphenated
     * @param value measured value
     * @param unit unit, one word
     */
    public void add(String figure, double value, String unit) {
        out.printf(Locale.ROOT, "%s %s %s%n", figure, format(value), unit);
    }

    /**
     * Reports a figure that must not be greater than its bound.
     *
     * @param figure name of the figure, hyphenated
     * @param value measured value
     * @param unit unit, one word
     * @param bound largest value allowed
     */
    public void atMost(String figure, double value, String unit, double bound) {
        bounded(figure, value, unit, "<=", bound, value <= bound);
    }

    /**
     * Reports a figure that must not be less than its bound.
     *
     * @param figure name of the figure, hyphenated
     * @param value measured value
     * @param unit unit, one word
     * @param bound least value allowed
     */
    public void atLeast(String figure, double value, String unit, double bound) {
        bounded(figure, value, unit, ">=", bound, value >= bound);
    }

    /**
     * Tells how many bounds were broken so far.
     *
     * @return the number of figures outside their bounds
     */
    public int broken() {
        return broken;
    }

    private void bounded(String figure, double value, String unit, String relation, double bound, boolean kept) {
        String verdict = kept ? "ok" : "BROKEN";
        out.printf(
                Locale.ROOT,
                "%s %s %s (bound %s %s: %s)%n",
                figure,
                format(value),
                unit,
                relation,
                format(bound),
                verdict);
        if (!kept) {
            broken++;
        }
    }

    private static String format(double value) {
        if (value == Math.rint(value) && Math.abs(value) < 1e15) {
            return String.format(Locale.ROOT, "%d", (long) value);
        }
        return String.format(Locale.ROOT, Math.abs(value) < 1 ? "%.5f" : "%.3f", value);
    }
}
