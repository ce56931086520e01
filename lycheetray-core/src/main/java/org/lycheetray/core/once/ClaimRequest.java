package org.lycheetray.core.once;

import java.time.Instant;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A request on a {@code once} route that wants to run.
 *
 * @param id the request
 * @param key account and idempotency key
 * @param digest what it asks for
 * @param deadline after this it is no longer dispatched
 * @param received wall-clock time of its arrival, kept in the claim for reports and clean-up
 */
public record ClaimRequest(
        RequestId id, ClaimKey key, RequestDigest digest, MonotonicTime deadline, Instant received) {}
