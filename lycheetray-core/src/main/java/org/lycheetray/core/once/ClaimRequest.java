package org.lycheetray.core.once;

import java.time.Instant;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.time.MonotonicTime;

/**
 * A request to claim the idempotency key of a request on a {@code once} route.
 *
 * @param id id of the request
 * @param key account and idempotency key
 * @param digest digest of the request's content
 * @param deadline deadline of the request, after which it is not dispatched
 * @param received wall-clock time of arrival, stored in the claim
 */
public record ClaimRequest(
        RequestId id, ClaimKey key, RequestDigest digest, MonotonicTime deadline, Instant received) {}
