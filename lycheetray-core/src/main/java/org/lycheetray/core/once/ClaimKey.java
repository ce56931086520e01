package org.lycheetray.core.once;

import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.UUID;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.table.RowKey;

/**
 * An idempotency key of a client account.
 *
 * <p>The row of a claim depends on the key alone and on no clock, so that every VM looks in the same place whenever the
 * key comes back. A key that is a UUID of version 7 carries the time at which the caller made it; its claim stands in
 * the bucket of that time and can be deleted once the bucket has ended its horizon, since a key so old is refused. Any
 * other key says nothing about its age: its claim stands in the undated bucket and is never deleted.
 *
 * @param account account whose key came with the request, empty on routes open to all
 * @param key value of the {@code Idempotency-Key} header
 */
public record ClaimKey(Optional<ClientAccountName> account, String key) {
    /** Largest number of characters of an idempotency key. */
    public static final int MAX_LENGTH = 255;

    /** Time that one bucket of dated claims spans. */
    public static final Duration BUCKET = Duration.ofHours(1);

    /** Prefix of all claim rows. */
    public static final String PREFIX = "claim/";

    /** Prefix of the claims whose keys carry no time. */
    public static final String UNDATED_PREFIX = PREFIX + "undated/";

    /** Stands for an account in rows of open routes; not a valid name of one. */
    private static final String NO_ACCOUNT = "-";

    private static final int TIME_BASED_VERSION = 7;
    private static final int IETF_VARIANT = 2;
    private static final int TIME_SHIFT = 16;
    private static final int UUID_LENGTH = 36;

    /**
     * Tells whether a header value can be used as a key.
     *
     * @param text value of the header, may be null
     * @return true if it is neither blank nor too long
     */
    public static boolean isValid(String text) {
        return text != null && !text.isBlank() && text.length() <= MAX_LENGTH;
    }

    /**
     * Gives the prefix of the rows of one bucket.
     *
     * @param bucket hours since the epoch
     * @return prefix for a scan
     */
    public static String bucketPrefix(long bucket) {
        return String.format(Locale.ROOT, "%s%010d/", PREFIX, bucket);
    }

    /**
     * Gives the bucket that the key's own time falls into.
     *
     * @return hours since the epoch, or empty if the key carries no time
     */
    public OptionalLong bucket() {
        if (key.length() != UUID_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            boolean dated = uuid.version() == TIME_BASED_VERSION && uuid.variant() == IETF_VARIANT;
            long millis = uuid.getMostSignificantBits() >>> TIME_SHIFT;
            return dated ? OptionalLong.of(millis / BUCKET.toMillis()) : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Gives the row that holds the claim.
     *
     * @return the same row for the same account and key, on every VM and at any time
     */
    public RowKey row() {
        OptionalLong bucket = bucket();
        String prefix = bucket.isPresent() ? bucketPrefix(bucket.getAsLong()) : UNDATED_PREFIX;
        return new RowKey(
                prefix + account.map(ClientAccountName::value).orElse(NO_ACCOUNT) + "/" + RequestDigest.hexOf(key));
    }
}
