package org.lycheetray.core.health;

import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.ClientAccountName;

/**
 * Bounds retries and hedges of each client account to a share of its requests.
 *
 * <p>Attempts never exceed {@value #LARGEST_AMPLIFICATION} times the requests, counted over any period from the start:
 * the budget starts empty, each request adds {@link #SHARE} of a retry and unspent budget is kept up to a limit. So a
 * failing service meets a tenth more load, not several times as much.
 */
public final class RetryBudget {
    /** Largest ratio of attempts to requests. */
    public static final double LARGEST_AMPLIFICATION = 1.1;

    /** Retries that one request adds to the budget. */
    public static final double SHARE = 0.1;

    private static final int PARTS_PER_RETRY = 10;
    private static final int MAX_PARTS = 20 * PARTS_PER_RETRY;

    private final Map<ClientAccountName, Integer> parts = new HashMap<>();

    /**
     * Notes a request's first attempt.
     *
     * @param account account of the request
     */
    public void request(ClientAccountName account) {
        parts.merge(account, 1, (a, b) -> Math.min(MAX_PARTS, a + b));
    }

    /**
     * Takes a retry out of the budget.
     *
     * @param account account of the request
     * @return false if the budget is spent and the request must not be tried again
     */
    public boolean tryRetry(ClientAccountName account) {
        int have = parts.getOrDefault(account, 0);
        if (have < PARTS_PER_RETRY) {
            return false;
        }
        parts.put(account, have - PARTS_PER_RETRY);
        return true;
    }
}
