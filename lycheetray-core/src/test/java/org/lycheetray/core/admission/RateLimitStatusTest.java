package org.lycheetray.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class RateLimitStatusTest {
    @Test
    void headersHaveTheFormatOfTheRateLimitDraft() {
        RateLimitStatus limits = new RateLimitStatus(40, 100, 7, Duration.ofMillis(1200));

        assertThat(limits.policyHeader()).isEqualTo("\"account\";q=100;w=3");
        assertThat(limits.limitHeader()).isEqualTo("\"account\";r=7;t=2");
    }
}
