package org.lycheetray.core.config;

import org.lycheetray.core.model.Manifest;
import org.lycheetray.core.time.MonotonicTime;

/** An input of a {@link ConfigTracker}. */
public sealed interface ConfigEvent {
    /**
     * The row {@code config/head} was read.
     *
     * @param head the row's content
     * @param sentAt time at which the read was sent; the content is at least as recent
     */
    record HeadRead(ConfigHead head, MonotonicTime sentAt) implements ConfigEvent {}

    /**
     * A peer answered a probe.
     *
     * @param view the configuration state of the peer
     * @param sentAt time at which the probe was sent
     */
    record ProbeAnswered(PeerConfigState view, MonotonicTime sentAt) implements ConfigEvent {}

    /**
     * A peer sent its state unsolicited. The state shows which versions to fetch, but it is no evidence of freshness,
     * because the time at which it was sent is unknown.
     *
     * @param view the configuration state of the peer
     */
    record PeerStateReceived(PeerConfigState view) implements ConfigEvent {}

    /**
     * A manifest was fetched from the object store or from a peer, and its digest was verified.
     *
     * @param ref version of the manifest
     * @param manifest the manifest
     */
    record ManifestLoaded(ConfigRef ref, Manifest manifest) implements ConfigEvent {}

    /**
     * Fetching a manifest failed; the fetch may be retried.
     *
     * @param ref version of the manifest
     */
    record ManifestFailed(ConfigRef ref) implements ConfigEvent {}

    /**
     * The local process is listed in the table as a voter of its data centre.
     *
     * @param confirmedAt local time at which the registration was known to be in the table
     */
    record Registered(MonotonicTime confirmedAt) implements ConfigEvent {}
}
