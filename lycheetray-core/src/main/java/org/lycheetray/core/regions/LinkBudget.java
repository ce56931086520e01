package org.lycheetray.core.regions;

import java.time.Duration;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.time.MonotonicTime;

/**
 * One VM's part of a link between two regions.
 *
 * <p>The link is split evenly over the VMs that are declared in the sending region, so the parts add up to the link
 * whatever fails. Bytes are taken when a request is sent or its answer begins. For one thread.
 */
public final class LinkBudget {
    private static final long BYTES_PER_MBIT = 125_000;
    private static final Duration BURST_DURATION = Duration.ofMillis(100);
    private static final double NANOS_PER_SECOND = 1e9;

    private final double bytesPerNano;
    private final double burstBytes;
    private double availableBytes;
    private MonotonicTime lastRefill;

    private LinkBudget(double bytesPerSecond, MonotonicTime now) {
        bytesPerNano = bytesPerSecond / NANOS_PER_SECOND;
        burstBytes = bytesPerNano * BURST_DURATION.toNanos();
        availableBytes = burstBytes;
        lastRefill = now;
    }

    /**
     * Creates the budget of one VM.
     *
     * @param link the link
     * @param usablePermille part of the link that this system may use, since others share it
     * @param vms VMs declared in the sending region
     * @param now the present
     * @return the budget, full
     */
    public static LinkBudget create(Link link, int usablePermille, int vms, MonotonicTime now) {
        double share = (double) link.mbitPerSecond() * BYTES_PER_MBIT * usablePermille / 1000 / vms;
        return new LinkBudget(share, now);
    }

    /**
     * Takes bytes if they are left.
     *
     * @param bytes size of what is sent; more than the budget's depth is allowed when it is full, and paid off after
     * @param now the present
     * @return false if the link has no room for them
     */
    public boolean tryTake(long bytes, MonotonicTime now) {
        availableBytes =
                Math.min(burstBytes, availableBytes + now.since(lastRefill).toNanos() * bytesPerNano);
        lastRefill = now;
        if (availableBytes < Math.min((double) bytes, burstBytes)) {
            return false;
        }
        availableBytes -= bytes;
        return true;
    }
}
