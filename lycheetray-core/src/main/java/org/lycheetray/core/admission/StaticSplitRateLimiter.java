package org.lycheetray.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.admission.internal.TokenBucket;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.time.MonotonicTime;

/**
 * Rate limiter that gives each VM a fixed, equal share of the rate and burst of each account.
 *
 * <p>It never admits too much, but refuses requests within the rate if demand is not spread evenly over the VMs. Not
 * used in production; serves as the baseline that measurements compare {@link DistributedRateLimiter} with.
 */
public final class StaticSplitRateLimiter {
    private final Map<ClientAccountName, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates the buckets of one VM, all of them full.
     *
     * @param manifest manifest that declares the accounts and VMs
     * @param now current time
     */
    public StaticSplitRateLimiter(Manifest manifest, MonotonicTime now) {
        int parts = manifest.vms().size();
        for (ClientAccount a : manifest.clientAccounts()) {
            RateShare total = RateShare.of(a.rate());
            long burst = total.burst() / parts;
            buckets.put(a.name(), new TokenBucket(total.rate() / parts, burst, burst, now));
        }
    }

    /**
     * Decides whether to admit a request.
     *
     * @param account client account of the request
     * @param now current time
     * @return true if it is admitted
     */
    public boolean admit(ClientAccountName account, MonotonicTime now) {
        TokenBucket b = buckets.get(account);
        if (b == null) {
            return false;
        }
        b.refill(now);
        if (b.tokens() < RateShare.TOKEN) {
            return false;
        }
        b.take(RateShare.TOKEN);
        return true;
    }
}
