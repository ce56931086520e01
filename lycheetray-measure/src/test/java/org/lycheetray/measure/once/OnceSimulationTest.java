package org.lycheetray.measure.once;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.once.AttemptId;
import org.lycheetray.core.once.AttemptResult;
import org.lycheetray.core.once.ClaimVerdict;
import org.lycheetray.core.once.FailurePoint;
import org.lycheetray.core.once.PeerQuestion;

class OnceSimulationTest {
    private static final int SCHEDULES = 60;

    @Test
    void keepsItsPromisesUnderFaults() {
        assertThat(brokenSchedules(SimulatedVm::new)).isZero();
    }

    @Test
    void aSeedGivesTheSameHistory() {
        assertThat(new OnceSimulation(5, SimulatedVm::new).run().events())
                .isEqualTo(new OnceSimulation(5, SimulatedVm::new).run().events());
    }

    @Test
    void catchesADispatchBeforeTheClaim() {
        assertThat(brokenSchedules(DispatchesBeforeTheClaim::new)).isPositive();
    }

    @Test
    void catchesAnotherServerAfterALostAnswer() {
        assertThat(brokenSchedules(TriesAgainAfterALostAnswer::new)).isPositive();
    }

    @Test
    void catchesAReleaseOfWhatMayHaveRun() {
        assertThat(brokenSchedules(ReleasesWhatMayHaveRun::new)).isPositive();
    }

    @Test
    void catchesNotRunSaidOfAnotherProcess() {
        assertThat(brokenSchedules(SpeaksForItsPredecessor::new)).isPositive();
    }

    private static int brokenSchedules(BiFunction<OnceSimulation, Incarnation, SimulatedVm> factory) {
        int broken = 0;
        for (int seed = 0; seed < SCHEDULES; seed++) {
            OnceSimulation simulation = new OnceSimulation(seed, factory);
            try {
                broken += HistoryChecker.check(simulation.run()).isBroken() ? 1 : 0;
            } catch (IllegalStateException e) {
                broken++;
            }
        }
        return broken;
    }

    private static final class DispatchesBeforeTheClaim extends SimulatedVm {
        DispatchesBeforeTheClaim(OnceSimulation world, Incarnation self) {
            super(world, self);
        }

        @Override
        void arrive(Call call) {
            call.run = new ClaimVerdict.Run(new AttemptId(self(), -1), call.request.deadline());
            dispatch(call);
        }
    }

    private static final class TriesAgainAfterALostAnswer extends SimulatedVm {
        TriesAgainAfterALostAnswer(OnceSimulation world, Incarnation self) {
            super(world, self);
        }

        @Override
        boolean mayTryAnother(Call call, FailurePoint point) {
            return super.mayTryAnother(call, point) || point == FailurePoint.BACKEND_FAILED;
        }
    }

    private static final class ReleasesWhatMayHaveRun extends SimulatedVm {
        ReleasesWhatMayHaveRun(OnceSimulation world, Incarnation self) {
            super(world, self);
        }

        @Override
        AttemptResult endOf(Call call) {
            return new AttemptResult.NotRun();
        }
    }

    private static final class SpeaksForItsPredecessor extends SimulatedVm {
        private final OnceSimulation world;

        SpeaksForItsPredecessor(OnceSimulation world, Incarnation self) {
            super(world, self);
            this.world = world;
        }

        @Override
        void ask(PeerQuestion question, AttemptId attempt) {
            if (attempt.holder().equals(self())) {
                super.ask(question, attempt);
            } else {
                world.answer(question, new AttemptResult.NotRun());
            }
        }
    }
}
