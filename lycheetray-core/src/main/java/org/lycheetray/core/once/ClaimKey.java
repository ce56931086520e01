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
 * <p>The row of a claim is derived only from account and key, never from a clock, so that every VM finds the same row
 * whenever the key is sent again. A UUID of version 7 contains the time at which it was created. Its claim is stored in
 * the bucket of that time and deleted when the bucket is older than the claim horizon; a key that old is refused. The
 * age of any other key is unknown, so its claim is stored in the undated bucket and never deleted.
 *
 * @param account account that the request authenticated as, empty on routes without a key
 * @param key value of the {@code Idempotency-Key} header
 */
public record ClaimKey(Optional<ClientAccountName> account, String key) {
    /** Maximum length of an idempotency key in characters. */
    public static final int MAX_LENGTH = 255;

    /** Time span of one bucket of claims with time-based keys. */
    public static final Duration BUCKET = Duration.ofHours(1);

    /** Prefix of all claim rows. */
    public static final String PREFIX = "claim/";

    /** Prefix of the rows of claims whose keys contain no time. */
    public static final String UNDATED_PREFIX = PREFIX + "undated/";

    /** Replaces the account in rows of open routes; not a valid account name. */
    private static final String NO_ACCOUNT_SEGMENT = "-";

    private static final int UUID_VERSION_TIME_ORDERED = 7;
    private static final int UUID_VARIANT_IETF = 2;
    private static final int UUID_TIME_SHIFT_BITS = 16;
    private static final int UUID_LENGTH = 36;

    /**
     * Returns whether a header value can be used as an idempotency key.
     *
     * @param text value of the header, may be null
     * @return true if it is neither blank nor too long
     */
    public static boolean isValid(String text) {
        return text != null && !text.isBlank() && text.length() <= MAX_LENGTH;
    }

    /**
     * Returns the prefix of the rows of one bucket.
     *
     * @param bucket bucket number in hours since the epoch
     * @return prefix for a scan
     */
    public static String bucketPrefix(long bucket) {
        return String.format(Locale.ROOT, "%s%010d/", PREFIX, bucket);
    }

    /**
     * Returns the bucket of the time that the key contains.
     *
     * @return bucket number in hours since the epoch, or empty if the key contains no time
     */
    public OptionalLong bucket() {
        if (key.length() != UUID_LENGTH) {
            return OptionalLong.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            boolean dated = uuid.version() == UUID_VERSION_TIME_ORDERED && uuid.variant() == UUID_VARIANT_IETF;
            long millis = uuid.getMostSignificantBits() >>> UUID_TIME_SHIFT_BITS;
            return dated ? OptionalLong.of(millis / BUCKET.toMillis()) : OptionalLong.empty();
        } catch (IllegalArgumentException e) {
            return OptionalLong.empty();
        }
    }

    /**
     * Returns the key of the row that stores the claim.
     *
     * @return the row key; the same account and idempotency key always result in the same row
     */
    public RowKey row() {
        OptionalLong bucket = bucket();
        String prefix = bucket.isPresent() ? bucketPrefix(bucket.getAsLong()) : UNDATED_PREFIX;
        return new RowKey(prefix + account.map(ClientAccountName::value).orElse(NO_ACCOUNT_SEGMENT) + "/"
                + RequestDigest.hexOf(key));
    }
}
