package org.lycheetray.core.health;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.lycheetray.core.model.ClientAccountName;

class RetryBudgetTest {
    private static final ClientAccountName ACCOUNT = new ClientAccountName("gatolote");

    @Property(tries = 100, seed = "7")
    void attemptsStayWithinTheMaximumAmplification(@ForAll @IntRange(min = 1, max = 2000) int requests) {
        RetryBudget budget = new RetryBudget();
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            budget.recordRequest(ACCOUNT);
            attempts++;
            while (budget.tryTakeRetry(ACCOUNT)) {
                attempts++;
            }
        }
        assertThat(attempts).isLessThanOrEqualTo((int) (requests * RetryBudget.MAX_AMPLIFICATION));
    }
}
