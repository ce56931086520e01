package org.lycheetray.core.health;

import java.util.HashMap;
import java.util.Map;
import org.lycheetray.core.model.ClientAccountName;

/**
 * Limits the retries and hedged requests of each client account to a share of its requests.
 *
 * <p>The number of attempts never exceeds {@value #MAX_AMPLIFICATION} times the number of requests since the start:
 * the budget starts empty, each request adds {@link #RETRIES_PER_REQUEST} of a retry, and unused budget accumulates up
 * to a limit. So retries add at most a tenth to the load of a failing service instead of multiplying it.
 */
public final class RetryBudget {
    /** Maximum ratio of attempts to requests. */
    public static final double MAX_AMPLIFICATION = 1.1;

    /** Number of retries that each request adds to the budget. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    private static final int PARTS_PER_RETRY = 10;
    private static final int MAX_PARTS = 20 * PARTS_PER_RETRY;

    private final Map<ClientAccountName, Integer> parts = new HashMap<>();

    /**
     * Records the first attempt of a request.
     *
     * @param account client account of the request
     */
    public void recordRequest(ClientAccountName account) {
        parts.merge(account, 1, (a, b) -> Math.min(MAX_PARTS, a + b));
    }

    /**
     * Takes one retry from the budget.
     *
     * @param account client account of the request
     * @return false if the budget is exhausted and the request must not be retried
     */
    public boolean tryTakeRetry(ClientAccountName account) {
        int available = parts.getOrDefault(account, 0);
        if (available < PARTS_PER_RETRY) {
            return false;
        }
        parts.put(account, available - PARTS_PER_RETRY);
        return true;
    }
}
