package org.lycheetray.core.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.manifest.ManifestDigest;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.WriteResult;

class SubmitterTest {
    private final TestTable table = new TestTable();

    @Test
    void conflictReportsWinner() {
        assertThat(run(submitter(0, "ann"), new Random(1), 0)).isInstanceOf(SubmitResult.Submitted.class);
        assertThat(run(submitter(0, "bob"), new Random(1), 0))
                .isInstanceOfSatisfying(
                        SubmitResult.Conflict.class,
                        c -> assertThat(c.winner().submission().id()).isEqualTo("ann"));
    }

    @Test
    void firstVersionIsAcceptedAndSecondPending() {
        run(submitter(0, "ann"), new Random(1), 0);
        assertThat(head().isPending()).isFalse();
        run(submitter(1, "ann"), new Random(1), 0);
        assertThat(head().isPending()).isTrue();
    }

    @Test
    void unknownBaseWritesNothing() {
        assertThat(run(submitter(7, "ann"), new Random(1), 0)).isInstanceOf(SubmitResult.NoSuchBase.class);
    }

    /**
     * Two concurrent submissions on the same base, with lost answers and delayed writes. Guards against a submission
     * that reports success or conflict contrary to what the version row says; only an unknown result may be reported as
     * in doubt.
     */
    @Property(seed = "31", tries = 1000, shrinking = ShrinkingMode.OFF)
    void concurrentSubmissionsGetCorrectResults(@ForAll long seed) {
        Random random = new Random(seed);
        TestTable fresh = new TestTable();
        run(fresh, List.of(submitter(0, "zero")), random, 0);
        List<SubmitResult> results = run(fresh, List.of(submitter(1, "ann"), submitter(1, "bob")), random, 40);
        String winner = ConfigRows.decodeHead(
                        fresh.read(ConfigRows.versionKey(new ConfigVersion(2))).orElseThrow())
                .get()
                .submission()
                .id();
        assertThat(List.of("ann", "bob")).contains(winner);
        for (int i = 0; i < 2; i++) {
            boolean won = winner.equals(i == 0 ? "ann" : "bob");
            switch (results.get(i)) {
                case SubmitResult.Submitted _ -> assertThat(won).isTrue();
                case SubmitResult.Conflict _ -> assertThat(won).isFalse();
                default -> assertThat(results.get(i)).isInstanceOf(SubmitResult.InDoubt.class);
            }
        }
    }

    private ConfigHead head() {
        return ConfigRows.decodeHead(table.read(ConfigRows.HEAD_KEY).orElseThrow())
                .get();
    }

    private SubmitResult run(Submitter s, Random random, int lossPercent) {
        return run(table, List.of(s), random, lossPercent).getFirst();
    }

    private static List<SubmitResult> run(TestTable t, List<Submitter> submitters, Random random, int lossPercent) {
        SubmitEffect[] effects = submitters.stream().map(Submitter::start).toArray(SubmitEffect[]::new);
        List<List<RowChange>> delayedWrites = new ArrayList<>();
        while (!List.of(effects).stream().allMatch(e -> e instanceof SubmitEffect.Finished)) {
            int i = random.nextInt(effects.length);
            if (!delayedWrites.isEmpty() && random.nextBoolean()) {
                t.write(delayedWrites.removeFirst());
            }
            if (!(effects[i] instanceof SubmitEffect.Finished)) {
                effects[i] = submitters.get(i).handle(perform(t, effects[i], random, lossPercent, delayedWrites));
            }
        }
        delayedWrites.forEach(t::write);
        return List.of(effects).stream()
                .map(e -> ((SubmitEffect.Finished) e).result())
                .toList();
    }

    private static SubmitEvent perform(
            TestTable t, SubmitEffect effect, Random random, int lossPercent, List<List<RowChange>> delayedWrites) {
        return switch (effect) {
            case SubmitEffect.ReadHead _ -> new SubmitEvent.HeadRead(t.read(ConfigRows.HEAD_KEY));
            case SubmitEffect.PutObject _ -> new SubmitEvent.ObjectStored();
            case SubmitEffect.ReadVersion r -> new SubmitEvent.VersionRead(t.read(r.key()));
            case SubmitEffect.Write w -> {
                if (random.nextInt(100) >= lossPercent) {
                    yield new SubmitEvent.Written(t.write(w.changes()));
                }
                delayedWrites.add(w.changes());
                yield new SubmitEvent.Written(new WriteResult.Unknown("answer lost"));
            }
            case SubmitEffect.Finished _ ->
                throw new IllegalStateException("finished submission has no effect to perform");
        };
    }

    private static Submitter submitter(long base, String id) {
        ManifestDigest digest = ManifestDigest.of(id.getBytes(StandardCharsets.UTF_8));
        return new Submitter(new ConfigVersion(base), digest, new Submission(id, "operator", Instant.EPOCH));
    }
}
