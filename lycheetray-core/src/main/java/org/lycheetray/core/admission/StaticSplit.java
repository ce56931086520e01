package org.lycheetray.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.admission.internal.TokenBucket;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.time.MonotonicTime;

/**
 * The naive way: every VM has an equal part of every account's rate and burst and never exchanges any.
 *
 * <p>Safe and simple, but refuses within rate whenever demand is not spread as evenly. No daemon uses it; tests and
 * measurements compare {@link RateShares} with it.
 */
public final class StaticSplit {
    private final Map<ClientAccountName, TokenBucket> buckets = new HashMap<>();

    /**
     * Creates one VM's full buckets.
     *
     * @param manifest accounts and VMs
     * @param now present point
     */
    public StaticSplit(Manifest manifest, MonotonicTime now) {
        int parts = manifest.vms().size();
        for (ClientAccount a : manifest.clientAccounts()) {
            RateShare whole = RateShare.of(a.rate());
            long burst = whole.burst() / parts;
            buckets.put(a.name(), new TokenBucket(whole.rate() / parts, burst, burst, now));
        }
    }

    /**
     * Decides on a request.
     *
     * @param account client account it runs for
     * @param now present point
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
