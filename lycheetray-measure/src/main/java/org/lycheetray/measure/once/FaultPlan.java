package org.lycheetray.measure.once;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * How often each fault strikes in one schedule; every schedule draws its own mix, some without most faults.
 *
 * @param writeLost share of writes that never arrive
 * @param writeAnswerLost share of writes that take effect and whose answer is lost
 * @param writeLate share of writes that take effect long after their answer was given up
 * @param writeDoubled share of writes that arrive twice
 * @param outages store outages
 * @param vmDeaths deaths of entry VMs, each followed by a new process
 * @param vmPauses pauses of entry VMs
 * @param serverCrashes crashes of backend servers
 * @param shed share of requests that a backend server sheds
 * @param answerCut share of answers that are lost or truncated on their way
 * @param peerLost share of questions between VMs that are lost
 * @param dispatchLate share of dispatched requests that reach the backend server after their deadline
 */
record FaultPlan(
        double writeLost,
        double writeAnswerLost,
        double writeLate,
        double writeDoubled,
        int outages,
        int vmDeaths,
        int vmPauses,
        int serverCrashes,
        double shed,
        double answerCut,
        double peerLost,
        double dispatchLate) {
    static final Duration LONGEST_OUTAGE = Duration.ofSeconds(8);
    static final Duration LONGEST_PAUSE = Duration.ofSeconds(6);

    static FaultPlan draw(RandomGenerator random) {
        return new FaultPlan(
                share(random, 0.1),
                share(random, 0.2),
                share(random, 0.1),
                share(random, 0.1),
                count(random, 2),
                count(random, 2),
                count(random, 3),
                count(random, 3),
                share(random, 0.1),
                share(random, 0.05),
                share(random, 0.2),
                share(random, 0.02));
    }

    private static double share(RandomGenerator random, double largest) {
        return random.nextBoolean() ? 0 : random.nextDouble(largest);
    }

    private static int count(RandomGenerator random, int largest) {
        return random.nextInt(largest + 1);
    }
}
