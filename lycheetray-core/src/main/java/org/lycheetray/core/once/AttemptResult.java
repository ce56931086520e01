package org.lycheetray.core.once;

/** How an attempt that held a claim ended; also what its holder tells other VMs of it. */
public sealed interface AttemptResult {
    /**
     * It ran and was answered in full.
     *
     * @param answer the answer
     */
    record Answered(StoredAnswer answer) implements AttemptResult {}

    /** It has provably not run and will not; the key is free again. */
    record NotRun() implements AttemptResult {}

    /** It may have run. */
    record Unknown() implements AttemptResult {}
}
