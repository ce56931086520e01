package org.lycheetray.core.placement.internal;

import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.allowance.RateShares;
import org.lycheetray.core.allowance.ServerLimits;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.placement.PlacementSettings;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.core.traffic.TrafficService;

/**
 * Enforces the rates of requests that single servers accept from the fleet: while a server is cold, and while it states
 * a limit. Not thread-safe.
 */
public final class ServerRates {
    /** Fraction of a cold server's rate limit that the fleet uses. */
    private static final double COLD_RATE_SHARE = 0.9;

    /** Number of VMs that may use a cold server at one time, per request per second of the configured slack. */
    private static final double COLD_VMS_SHARE = 0.8;

    /**
     * Number of VMs that may send to a server with a limit, in addition to one for each request per second of the
     * limit. The server may receive as many requests at one moment beyond its limit.
     */
    private static final int LIMITED_SERVER_VMS = 4;

    /** Rate at which the fleet sends to a server whose limit is lower, to notice when the limit is raised. */
    private static final double MIN_LIMIT_PER_SECOND = 0.1;

    private final double coldOverage;
    private final double coldSlack;
    private final RateShares shares;
    private final ServerLimits limits = new ServerLimits();

    /**
     * Creates an instance that knows no other VMs and no limits.
     *
     * @param settings the location of this VM and the limits to apply
     */
    public ServerRates(PlacementSettings settings) {
        coldOverage = settings.coldOverage();
        coldSlack = settings.coldSlack();
        shares = new RateShares(settings.vm(), settings.region(settings.dataCentre()));
    }

    /**
     * Replaces the list of other VMs, which share the rates with this VM.
     *
     * @param others the other VMs, each with its region
     */
    public void updateVms(Map<VmName, RegionName> others) {
        shares.updateVms(others);
    }

    /**
     * Removes the state of servers that no longer exist.
     *
     * @param present names of the registered servers
     */
    public void retainServers(Collection<BackendServerName> present) {
        limits.retainServers(present);
        shares.retainServers(present);
    }

    /**
     * Returns the limits that servers have stated.
     *
     * @return the limits
     */
    public ServerLimits limits() {
        return limits;
    }

    /**
     * Returns whether a server has stated a limit.
     *
     * @param s the server
     * @param now current time
     * @return true if the server is limited
     */
    public boolean isLimited(ServerState s, MonotonicTime now) {
        return limits.limit(s.server(), now).isPresent();
    }

    /**
     * Returns whether this VM may send a request to a server now.
     *
     * @param s the server
     * @param service its service, if configured
     * @param now current time
     * @return true if the server accepts all requests or a token of each of its rates is available
     */
    public boolean allows(ServerState s, Optional<TrafficService> service, MonotonicTime now) {
        boolean coldAllows = !isCold(s, now) || service.isEmpty() || hasColdToken(s, service.get(), now);
        return hasLimitToken(s, now) && coldAllows;
    }

    private static boolean isCold(ServerState s, MonotonicTime now) {
        return s.isCold(now) || s.isSuspectedCold(now);
    }

    private boolean hasColdToken(ServerState s, TrafficService service, MonotonicTime now) {
        if (service.coldRequestsPerSecond() <= 0) {
            return true;
        }
        Optional<RateShares.Share> share =
                shares.share(s.server().name(), s.region(), (int) (COLD_VMS_SHARE * coldSlack));
        double tolerated = COLD_RATE_SHARE * (service.coldRequestsPerSecond() * coldOverage + coldSlack);
        double atOnce = share.map(RateShares.Share::users).orElse(0);
        return s.coldRate().hasToken(Math.clamp(tolerated - atOnce, 0, service.coldRequestsPerSecond()), share, now);
    }

    /**
     * Returns whether the limit of a server, if it has one, allows a request.
     *
     * <p>All VMs share a stale limit equally, so that one of them notices when it has ended.
     */
    private boolean hasLimitToken(ServerState s, MonotonicTime now) {
        Optional<ServerLimits.Limit> limit = limits.limit(s.server(), now);
        if (limit.isEmpty()) {
            s.limitRate().reset();
            return true;
        }
        double perSecond = Math.max(MIN_LIMIT_PER_SECOND, limit.get().perSecond());
        int maxUsers = limit.get().stale()
                ? shares.vmCount()
                : LIMITED_SERVER_VMS + (int) Math.min(perSecond, shares.vmCount());
        return s.limitRate().hasToken(perSecond, shares.share(s.server().name(), s.region(), maxUsers), now);
    }

    /**
     * Takes the tokens of a request that is being sent.
     *
     * @param s the server
     * @param now current time
     */
    public void recordSent(ServerState s, MonotonicTime now) {
        if (isCold(s, now)) {
            s.coldRate().takeToken();
        }
        if (isLimited(s, now)) {
            s.limitRate().takeToken();
        }
    }
}
