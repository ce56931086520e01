package org.lycheetray.core.split;

import java.util.List;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.traffic.WeightedService;

/**
 * Distributes requests over services by weight, so that after every request each service is within one request of its
 * share.
 *
 * <p>Uses the smooth weighted round robin of nginx: each turn adds to the credit of every part its weight, selects the
 * part with the largest credit and subtracts the sum of all weights from it. Not thread-safe.
 */
public final class WeightedSplit {
    private final List<WeightedService> parts;
    private final double[] credits;
    private final int total;

    /**
     * Creates a split.
     *
     * @param parts the services with their weights
     * @param phase initial offset in [0, 1), different on each VM so that the VMs do not select the same service at the
     *     same time
     */
    public WeightedSplit(List<WeightedService> parts, double phase) {
        this.parts = List.copyOf(parts);
        this.credits = new double[parts.size()];
        this.total = parts.stream().mapToInt(WeightedService::weight).sum();
        for (int i = 0; i < credits.length; i++) {
            credits[i] = phase * parts.get(i).weight();
        }
    }

    /**
     * Returns the services with their weights.
     *
     * @return the services in their configured order
     */
    public List<WeightedService> parts() {
        return parts;
    }

    /**
     * Selects the service for the next request.
     *
     * @return the selected service
     */
    public ServiceName next() {
        int best = -1;
        for (int i = 0; i < credits.length; i++) {
            credits[i] += parts.get(i).weight();
            if (parts.get(i).weight() > 0 && (best < 0 || credits[i] > credits[best])) {
                best = i;
            }
        }
        int chosen = Math.max(best, 0);
        credits[chosen] -= total;
        return parts.get(chosen).service();
    }
}
