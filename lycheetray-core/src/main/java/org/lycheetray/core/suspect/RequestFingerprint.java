package org.lycheetray.core.suspect;

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
        this.digest = () -> RequestDigest.of(method, host + '\n' + caller, target, body);
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
     * @return the digest of the whole request
     */
    public RequestDigest digest() {
        if (computed == null) {
            computed = digest.get();
        }
        return computed;
    }
}
