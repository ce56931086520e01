package org.lycheetray.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.ClientAccountName;

class KeyIndexTest {
    @Test
    void findsAccountOfKey() {
        KeyIndex index = KeyIndex.of(List.of(Manifests.ofKey("shop", "secret")));

        assertThat(index.find("secret")).contains(new ClientAccountName("shop"));
        assertThat(index.find("other")).isEmpty();
    }

    @Test
    void keyWithdrawnByPendingConfigurationStopsAtOnce() {
        KeyIndex index = KeyIndex.of(List.of(Manifests.ofKey("shop", "old"), Manifests.ofKey("shop", "new")));

        assertThat(index.find("old")).isEmpty();
        assertThat(index.find("new")).isEmpty();
    }

    @Test
    void keyThatMovesBetweenAccountsIsValidForNeitherMeanwhile() {
        KeyIndex index = KeyIndex.of(List.of(Manifests.ofKey("shop", "key"), Manifests.ofKey("desk", "key")));

        assertThat(index.find("key")).isEmpty();
    }
}
