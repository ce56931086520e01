package org.lycheetray.core.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.VmName;
import org.lycheetray.core.table.Row;

class ClaimTableTest {
    private static final StoredAnswer ANSWER =
            new StoredAnswer(201, List.of(), StoredAnswer.Body.Inline.of(new byte[] {1, 2}));
    private static final AttemptResult ANSWERED = new AttemptResult.Answered(ANSWER);
    private static final AttemptResult NOT_RUN = new AttemptResult.NotRun();

    private final ClaimDriver a = ClaimDriver.createSingle();
    private final ClaimDriver b = new ClaimDriver("vm-2", 1, a.rows);

    @Test
    void dispatchesOnlyAfterClaimIsWritten() {
        a.claim("r1", "k", "x");
        assertThat(a.verdicts).isEmpty();
        assertThat(a.completeWrites().verdicts.get("r1")).isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void returnsStoredAnswerOnAnotherVm() {
        a.end(a.claimAndRun("r1", "k"), ANSWERED).completeWrites();
        assertThat(b.claim("r2", "k", "same").completeWrites().verdicts)
                .containsEntry("r2", new ClaimVerdict.Replay(ANSWER));
        assertThat(a.table.openClaims()).isZero();
    }

    @Test
    void joinsRunningAttempt() {
        AttemptId run = a.claimAndRun("r1", "k");
        a.claim("r2", "k", "same");
        assertThat(a.end(run, ANSWERED).verdicts).containsEntry("r2", new ClaimVerdict.Replay(ANSWER));
    }

    @Test
    void refusesDifferentContentWithSameKey() {
        a.claimAndRun("r1", "k");
        assertRefused(a.claim("r2", "k", "other"), "r2", FailurePoint.KEY_REUSED);
        assertRefused(b.claim("r3", "k", "other").completeWrites(), "r3", FailurePoint.KEY_REUSED);
    }

    @Test
    void asksHolderAndReturnsItsAnswer() {
        AttemptId run = a.claimAndRun("r1", "k");
        b.claim("r2", "k", "same").completeWrites();
        a.collectEffects(a.table.handlePeerQuestion(
                new PeerQuestion(
                        new Incarnation(new VmName("vm-2"), 1),
                        b.questions.getFirst().number()),
                run));
        a.end(run, ANSWERED);
        b.collectEffects(b.table.handlePeerAnswer(
                a.answers.getFirst().question().number(), a.answers.getFirst().result(), b.now));
        assertThat(b.verdicts).containsEntry("r2", new ClaimVerdict.Replay(ANSWER));
    }

    @Test
    void isUnknownWhenHolderDoesNotAnswer() {
        a.claimAndRun("r1", "k");
        b.claim("r2", "k", "same").completeWrites().advance(Duration.ofSeconds(3));
        assertRefused(b, "r2", FailurePoint.EARLIER_ATTEMPT);
    }

    @Test
    void isUnknownAfterRestartOfHolder() {
        a.claimAndRun("r1", "k");
        ClaimDriver successor = new ClaimDriver("vm-1", 2, a.rows);
        assertRefused(successor.claim("r2", "k", "same").completeWrites(), "r2", FailurePoint.EARLIER_ATTEMPT);
    }

    @Test
    void anotherVmRunsRequestReleasedAsNotRun() {
        a.end(a.claimAndRun("r1", "k"), NOT_RUN).completeWrites();
        assertThat(b.claim("r2", "k", "same").completeWrites().verdicts.get("r2"))
                .isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void recognisesOwnClaimAfterLostWriteAnswer() {
        a.claim("r1", "k", "same").loseWriteAnswer(true);
        assertThat(a.advance(Duration.ofMillis(200)).completeWrites().verdicts.get("r1"))
                .isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void claimAppliedAfterItsRefusalDoesNotBlockKey() {
        ClaimEffect.Write late = a.claim("r1", "k", "same").loseWriteAnswer(false);
        a.advance(Duration.ofSeconds(3));
        assertRefused(a, "r1", FailurePoint.CLAIM_NOT_IN_TIME);
        a.applyWrite(late);
        b.claim("r2", "k", "same").completeWrites();
        a.completeWrites()
                .collectEffects(a.table.handlePeerQuestion(
                        new PeerQuestion(new Incarnation(new VmName("vm-2"), 1), 1),
                        b.questions.getFirst().attempt()));
        b.collectEffects(b.table.handlePeerAnswer(1, a.answers.getFirst().result(), b.now))
                .completeWrites();
        assertThat(b.verdicts.get("r2")).isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void releasePreventsDelayedClaimOfSameAttempt() {
        ClaimEffect.Write late = a.claim("r1", "k", "same").loseWriteAnswer(false);
        a.advance(Duration.ofSeconds(3)).completeWrites();
        a.applyWrite(late);
        assertThat(b.claim("r2", "k", "same").completeWrites().verdicts.get("r2"))
                .isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void refusesImmediatelyWhileStoreIsDown() {
        a.claim("r1", "k1", "x").loseWriteAnswer(false);
        for (int i = 0; i < 22; i++) {
            a.now = a.now.plus(Duration.ofMillis(100));
            a.loseWriteAnswer(false);
        }
        assertRefused(a.claim("r2", "k2", "x"), "r2", FailurePoint.CLAIM_STORE_DOWN);
    }

    @Test
    void forbidsDispatchAfterPausePastDeadline() {
        a.claimAndRun("r1", "k");
        ClaimVerdict.Run run = (ClaimVerdict.Run) a.verdicts.get("r1");
        assertThat(run.canDispatch(a.now)).isTrue();
        assertThat(run.canDispatch(a.now.plus(Duration.ofSeconds(3)))).isFalse();
    }

    @Test
    void writesSeveralClaimsInOneBatch() {
        a.claim("r1", "k1", "x").claim("r2", "k2", "x").claim("r3", "k3", "x").completeWrites();
        assertThat(a.verdicts).hasSize(3);
        assertThat(a.table.writeCount()).isEqualTo(1);
    }

    @Test
    void conflictDoesNotFailOtherClaimsOfBatch() {
        a.end(a.claimAndRun("r1", "k1"), ANSWERED).completeWrites();
        b.claim("r2", "k1", "same").claim("r3", "k2", "same").completeWrites();
        assertThat(b.verdicts).containsEntry("r2", new ClaimVerdict.Replay(ANSWER));
        assertThat(b.verdicts.get("r3")).isInstanceOf(ClaimVerdict.Run.class);
    }

    @Test
    void refusesKeyBelowWatermarkRaisedByAnotherVm() {
        a.rows.put(ClaimExpiryWatermark.ROW, new Row(ClaimExpiryWatermark.ROW, 1, "490000"));
        String old = "01234567-89ab-7000-8000-000000000000";
        assertRefused(a.claim("r1", old, "x").completeWrites(), "r1", FailurePoint.KEY_EXPIRED);
    }

    private static void assertRefused(ClaimDriver d, String request, FailurePoint point) {
        assertThat(d.verdicts).containsEntry(request, new ClaimVerdict.Refuse(point));
    }
}
