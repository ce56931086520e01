package org.lycheetray.platform.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.config.ConfigHead;
import org.lycheetray.core.config.Submission;
import org.lycheetray.core.config.SubmitResult;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.model.Policy;
import org.lycheetray.platform.memory.MemoryObjectStore;
import org.lycheetray.platform.memory.MemoryTableService;

class ConfigClientTest {
    private static final Manifest EMPTY = new Manifest(
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            Policy.DEFAULT);

    private final ConfigClient client = new ConfigClient(new MemoryTableService(), new MemoryObjectStore());

    @Test
    void submittedManifestCanBeReadBack() {
        SubmitResult result = submit(0, "a");
        assertThat(result).isInstanceOf(SubmitResult.Submitted.class);
        ConfigHead head = client.readHead().block().orElseThrow();
        assertThat(client.readManifest(head.accepted()).block().get()).isEqualTo(EMPTY);
    }

    @Test
    void secondSubmissionOnSameBaseConflicts() {
        submit(0, "a");
        assertThat(submit(0, "b")).isInstanceOf(SubmitResult.Conflict.class);
    }

    private SubmitResult submit(long base, String id) {
        return client.submit(EMPTY, new ConfigVersion(base), new Submission(id, "op", Instant.EPOCH))
                .block();
    }
}
