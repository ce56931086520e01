package org.lycheetray.core.config;

/** How a submission ended. */
public sealed interface SubmitResult {
    /**
     * It holds a version; acceptance is up to the VMs, unless it is the first version.
     *
     * @param ref the version
     */
    record Submitted(ConfigRef ref) implements SubmitResult {}

    /**
     * The base is not the newest version; nothing was written.
     *
     * @param winner the version that was submitted instead and by whom
     */
    record Conflict(ConfigHead winner) implements SubmitResult {}

    /** There is no configuration yet, so that the base can only be 0; nothing was written. */
    record NoSuchBase() implements SubmitResult {}

    /**
     * Nothing was written.
     *
     * @param cause step, peer and problem
     */
    record Unreachable(String cause) implements SubmitResult {}

    /**
     * The write's answer was lost and could not be settled; it may have taken effect or may yet.
     *
     * @param cause step, peer and problem
     */
    record InDoubt(String cause) implements SubmitResult {}
}
