package org.lycheetray.core.config;

/** Result of a submission. */
public sealed interface SubmitResult {
    /**
     * The submission created a version. The first version is accepted immediately; later ones are pending until the VMs
     * accept them.
     *
     * @param ref the version
     */
    record Submitted(ConfigRef ref) implements SubmitResult {}

    /**
     * The base is not the newest version, because another submission came first; nothing was written.
     *
     * @param winner the head with the version and the submission that came first
     */
    record Conflict(ConfigHead winner) implements SubmitResult {}

    /** There is no configuration yet and the base is not 0; nothing was written. */
    record NoSuchBase() implements SubmitResult {}

    /**
     * A step failed before the write took effect; nothing was written.
     *
     * @param cause the step, the peer and the error
     */
    record Unreachable(String cause) implements SubmitResult {}

    /**
     * The answer to the write was lost and the result could not be determined: the write may have taken effect or may
     * still do so.
     *
     * @param cause the step, the peer and the error
     */
    record InDoubt(String cause) implements SubmitResult {}
}
