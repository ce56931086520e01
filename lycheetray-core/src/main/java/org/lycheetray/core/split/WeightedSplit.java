package org.lycheetray.core.split;

import java.util.List;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.traffic.WeightedService;

/**
 * Deals requests to services so that after every request each has its share to within one.
 *
 * <p>Source: the smooth weighted round robin of nginx: every turn adds its weight to each part's credit, and the part
 * with the largest credit pays the sum of all weights. For one thread.
 */
public final class WeightedSplit {
    private final List<WeightedService> parts;
    private final double[] credits;
    private final int total;

    /**
     * Creates a split.
     *
     * @param parts the parts
     * @param phase number in [0, 1) that keeps VMs from dealing in step
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
     * The parts that are dealt to.
     *
     * @return the parts
     */
    public List<WeightedService> parts() {
        return parts;
    }

    /**
     * Deals one request.
     *
     * @return the service that it goes to
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
