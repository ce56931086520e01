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
 * Finds the client account of a key, for each request anew.
 *
 * <p>A key counts only if every configuration that may be in force declares it for the same account. So a key that a
 * pending configuration withdraws stops at once, and one that it issues starts when the configuration is accepted.
 *
 * <p>Only hashes are kept. A table keyed by the first bytes of the hash narrows the search; what a caller could learn
 * from its timing is a part of the hash of a key that it sent itself. The whole hash is then compared in constant time.
 * Immutable, so that traffic threads may share it.
 */
public final class KeyIndex {
    /** Knows no key. */
    public static final KeyIndex EMPTY = new KeyIndex(Map.of());

    private static final int PREFIX_BYTES = 8;

    private final Map<Long, List<Entry>> entries;

    private KeyIndex(Map<Long, List<Entry>> entries) {
        this.entries = entries;
    }

    /**
     * Indexes the keys that every one of some configurations declares.
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
     * Finds the client account of a key.
     *
     * @param key the key as the caller sent it; never kept
     * @return the account, empty if the key is not valid
     */
    public Optional<ClientAccountName> find(String key) {
        return find(KeyHash.of(key));
    }

    /**
     * Finds the client account of a key's hash.
     *
     * @param hash hash of the key, for a caller that keeps it while a connection is open
     * @return the account, empty if the key is not valid
     */
    public Optional<ClientAccountName> find(KeyHash hash) {
        byte[] sought = HexFormat.of().parseHex(hash.hex());
        ClientAccountName found = null;
        for (Entry e : entries.getOrDefault(prefix(sought), List.of())) {
            if (MessageDigest.isEqual(e.hash, sought)) {
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

    /** A key's hash and its account; a class since records compare arrays by identity. */
    private static final class Entry {
        private final byte[] hash;
        private final ClientAccountName account;

        Entry(byte[] hash, ClientAccountName account) {
            this.hash = hash;
            this.account = account;
        }
    }
}
