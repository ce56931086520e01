package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ClaimKeyTest {
    @Test
    void derivesBucketFromTimeOfUuidVersion7() {
        ClaimKey key = new ClaimKey(ClaimDriver.ACCOUNT, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
        assertThat(key.bucket()).isEqualTo(OptionalLong.of(0x017f22e279b0L / 3_600_000));
        assertThat(key.row().value()).startsWith("claim/0000457099/olwyn/");
    }

    @Test
    void storesOtherKeysInUndatedBucket() {
        ClaimKey key = new ClaimKey(ClaimDriver.ACCOUNT, "order/17");
        assertThat(key.row().value()).startsWith("claim/undated/olwyn/");
    }
}
