package org.lycheetray.measure.load;

import org.HdrHistogram.Histogram;

/**
 * What a load run saw.
 *
 * @param latency nanoseconds from the intended start of a request to its whole answer
 * @param answered requests answered with status 200
 * @param failed all others
 * @param seconds length of the run
 */
public record LoadResult(Histogram latency, long answered, long failed, double seconds) {
    /**
     * The latency below which a share of the requests lies.
     *
     * @param percentile 0 to 100
     * @return milliseconds
     */
    public double millis(double percentile) {
        return latency.getValueAtPercentile(percentile) / 1e6;
    }

    /**
     * The rate of answered requests.
     *
     * @return requests a second
     */
    public double perSecond() {
        return answered / seconds;
    }
}
