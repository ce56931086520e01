package org.lycheetray.core.admission;

import java.security.MessageDigest;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Manifest;

/**
 * Index from API key hashes to client accounts, looked up for each request.
 *
 * <p>A key is valid only if every configuration that may be in force declares it for the same account. A key that a
 * pending configuration withdraws therefore becomes invalid at once, and a key that it adds becomes valid when the
 * configuration is accepted.
 *
 * <p>Only hashes are stored. Entries are looked up by the first bytes of the hash; the timing of this look-up reveals
 * at most a part of the hash of the key that the caller sent itself. The full hash is then compared in constant time.
 * Immutable and therefore safe for use by several threads.
 */
public final class KeyIndex {
    /** An index without keys. */
    public static final KeyIndex EMPTY = new KeyIndex(Map.of());

    private static final int PREFIX_BYTES = 8;

    private final Map<Long, List<Entry>> entries;

    private KeyIndex(Map<Long, List<Entry>> entries) {
        this.entries = entries;
    }

    /**
     * Creates an index of the keys that all given configurations declare for the same account.
     *
     * @param manifests the configurations that may be in force, in any order
     * @return the index
     */
    public static KeyIndex of(List<Manifest> manifests) {
        if (manifests.isEmpty()) {
            return EMPTY;
        }
        Map<KeyHash, ClientAccountName> common = keys(manifests.getFirst());
        for (Manifest m : manifests.subList(1, manifests.size())) {
            common.entrySet().retainAll(keys(m).entrySet());
        }
        Map<Long, List<Entry>> entries = HashMap.newHashMap(common.size());
        common.forEach((hash, account) -> {
            Entry e = new Entry(HexFormat.of().parseHex(hash.hex()), account);
            entries.merge(prefix(e.hash), List.of(e), KeyIndex::concat);
        });
        return new KeyIndex(entries);
    }

    private static Map<KeyHash, ClientAccountName> keys(Manifest manifest) {
        Map<KeyHash, ClientAccountName> keys = new HashMap<>();
        for (ClientAccount a : manifest.clientAccounts()) {
            a.keyHashes().forEach(h -> keys.put(h, a.name()));
        }
        return keys;
    }

    private static List<Entry> concat(List<Entry> a, List<Entry> b) {
        return List.of(a, b).stream().flatMap(List::stream).toList();
    }

    /**
     * Returns the client account of a key.
     *
     * @param key the key as the caller sent it; not stored
     * @return the account, or empty if the key is not valid
     */
    public Optional<ClientAccountName> find(String key) {
        return find(KeyHash.of(key));
    }

    /**
     * Returns the client account of a key that is given by its hash.
     *
     * @param hash hash of the key; lets a connection keep the hash instead of the key
     * @return the account, or empty if the key is not valid
     */
    public Optional<ClientAccountName> find(KeyHash hash) {
        byte[] wanted = HexFormat.of().parseHex(hash.hex());
        ClientAccountName found = null;
        for (Entry e : entries.getOrDefault(prefix(wanted), List.of())) {
            if (MessageDigest.isEqual(e.hash, wanted)) {
                found = e.account;
            }
        }
        return Optional.ofNullable(found);
    }

    private static long prefix(byte[] hash) {
        long p = 0;
        for (int i = 0; i < PREFIX_BYTES; i++) {
            p = p << Byte.SIZE | (hash[i] & 0xff);
        }
        return p;
    }

    /** Hash of a key and its account. Not a record, because records compare arrays by identity. */
    private static final class Entry {
        private final byte[] hash;
        private final ClientAccountName account;

        Entry(byte[] hash, ClientAccountName account) {
            this.hash = hash;
            this.account = account;
        }
    }
}
