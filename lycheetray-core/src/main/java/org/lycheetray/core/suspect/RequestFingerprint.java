package org.lycheetray.core.suspect;

import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Supplier;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.once.RequestDigest;

/**
 * Identifies the requests that a backend server can't tell apart: same method, host, target, client account and body.
 *
 * <p>All VMs compute the same values. The hash is cheap, so that the digest is computed only for requests whose hash is
 * that of a known suspect.
 */
public final class RequestFingerprint {
    /** Number of bytes of a body that are told apart, besides its length; more would delay other requests. */
    private static final int MAX_DIGESTED_BYTES = 64 * 1024;

    private final int hash;
    private final Supplier<RequestDigest> digest;
    private RequestDigest computed;

    /**
     * Creates the fingerprint of a request.
     *
     * @param method HTTP method
     * @param host value of the Host header
     * @param target path and query
     * @param account client account of the request, if any
     * @param body complete body
     */
    public RequestFingerprint(
            String method, String host, String target, Optional<ClientAccountName> account, byte[] body) {
        String caller = account.map(ClientAccountName::value).orElse("");
        this.hash = Objects.hash(method, host, target, caller, body.length);
        this.digest = () -> RequestDigest.of(
                method,
                host + '\n' + caller + '\n' + body.length,
                target,
                body.length <= MAX_DIGESTED_BYTES ? body : Arrays.copyOf(body, MAX_DIGESTED_BYTES));
    }

    /**
     * Returns the hash of everything but the content of the body.
     *
     * @return a hash that is the same on all VMs
     */
    public int hash() {
        return hash;
    }

    /**
     * Returns the digest, which is computed at the first call.
     *
     * @return the digest of the request, with the length and the first bytes of its body
     */
    public RequestDigest digest() {
        if (computed == null) {
            computed = digest.get();
        }
        return computed;
    }
}
