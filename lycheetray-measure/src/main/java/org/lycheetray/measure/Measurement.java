package org.lycheetray.measure;

/** One measurement that {@code bin/measure NAME} runs. */
public interface Measurement {
    /**
     * The name on the command line.
     *
     * @return a lower-case word
     */
    String name();

    /**
     * Runs to completion and reports every figure.
     *
     * @param options seed and time allowed
     * @param figures receives the results
     * @throws Exception if the measurement could not be made; counts as failed
     */
    void run(MeasureOptions options, Figures figures) throws Exception;
}
