package org.lycheetray.core.once;

/** Result of an attempt that held a claim, as recorded in its row and sent to VMs that ask for it. */
public sealed interface AttemptResult {
    /**
     * The attempt ran and its complete answer was received.
     *
     * @param answer the answer
     */
    record Answered(StoredAnswer answer) implements AttemptResult {}

    /** The attempt provably has not run and will not; the key can be claimed again. */
    record NotRun() implements AttemptResult {}

    /** The attempt may have run. */
    record Unknown() implements AttemptResult {}
}
