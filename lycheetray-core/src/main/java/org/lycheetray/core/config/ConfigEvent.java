package org.lycheetray.core.config;

import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.time.MonotonicTime;

/** What a {@link ConfigKeeper} is told. */
public sealed interface ConfigEvent {
    /**
     * The table was read.
     *
     * @param head the row's content
     * @param sentAt when the read was sent, so that the answer is known to be no older
     */
    record HeadRead(ConfigHead head, MonotonicTime sentAt) implements ConfigEvent {}

    /**
     * A peer answered a probe.
     *
     * @param view what it said
     * @param sentAt when the probe was sent
     */
    record PeerAnswered(PeerView view, MonotonicTime sentAt) implements ConfigEvent {}

    /**
     * A peer told its state unasked; that says what to fetch but proves nothing about the present.
     *
     * @param view what it said
     */
    record PeerHinted(PeerView view) implements ConfigEvent {}

    /**
     * A manifest arrived, from the store or from a peer, and its digest was checked.
     *
     * @param ref its version
     * @param manifest its content
     */
    record ManifestLoaded(ConfigRef ref, Manifest manifest) implements ConfigEvent {}

    /**
     * A manifest could not be had this time.
     *
     * @param ref its version
     */
    record ManifestFailed(ConfigRef ref) implements ConfigEvent {}

    /**
     * The table lists this process among its data centre's voters.
     *
     * @param confirmedAt when that was known at this VM
     */
    record Registered(MonotonicTime confirmedAt) implements ConfigEvent {}
}
