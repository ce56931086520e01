package org.lycheetray.core.regions;

import java.time.Duration;
import org.lycheetray.core.model.Link;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A token bucket for one VM's share of the bandwidth of a link between two regions.
 *
 * <p>The bandwidth is split evenly over the VMs declared in the sending region, so the sum of the shares never exceeds
 * it, even if VMs cannot communicate. Bytes are taken when a request is sent or its answer starts. Not thread-safe.
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
     * Creates the budget of one VM, initially full.
     *
     * @param link the link
     * @param usablePermille part of the bandwidth that this system may use, in permille; other systems use the rest
     * @param vms number of VMs declared in the sending region
     * @param now present time
     * @return the budget
     */
    public static LinkBudget create(Link link, int usablePermille, int vms, MonotonicTime now) {
        double share = (double) link.mbitPerSecond() * BYTES_PER_MBIT * usablePermille / 1000 / vms;
        return new LinkBudget(share, now);
    }

    /**
     * Takes bytes from the budget if enough are available.
     *
     * @param bytes number of bytes to send; more than the bucket's capacity is accepted when the bucket is full, and
     *     the excess is refilled before any further bytes are granted
     * @param now present time
     * @return true if the bytes may be sent
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
