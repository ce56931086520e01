package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.lycheetray.core.manifest.internal.NameRegistry.Kind;
import org.lycheetray.core.model.ClientAccount;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.KeyHash;
import org.lycheetray.core.model.Policy;
import org.lycheetray.core.model.Rate;

/** Reads the client accounts and the policy of a manifest. */
final class AccountSection {
    private static final long MAX_RATE = 100_000_000;
    private static final int MAX_WEIGHT = 1_000_000;
    private static final Duration MAX_FRESHNESS_LIMIT = Duration.ofDays(1);
    private static final Duration SECOND = Duration.ofSeconds(1);
    private static final Duration MAX_LOOKUP_TTL = Duration.ofHours(1);
    private static final Duration MAX_CLAIM_HORIZON = Duration.ofDays(366);
    private static final Duration MAX_DRAIN_LIMIT = Duration.ofDays(1);
    private static final long MAX_BODY_BYTES = 1L << 40;

    private final ManifestBuilder builder;
    private final NameRegistry names;

    AccountSection(ManifestBuilder builder, NameRegistry names) {
        this.builder = builder;
        this.names = names;
    }

    void readClientAccount(ObjectFields f) {
        ClientAccountName name =
                new ClientAccountName(f.name("name", n -> names.declare(Kind.CLIENT_ACCOUNT, n, f.pathOf("name"))));
        Rate rate = new Rate(f.integer("ratePerSecond", 1, MAX_RATE), f.integer("burst", 1, MAX_RATE));
        builder.clientAccounts.add(
                new ClientAccount(name, readKeyHashes(f), rate, f.smallInteger("weight", 1, MAX_WEIGHT)));
    }

    void readPolicy(ObjectFields f) {
        Policy d = Policy.DEFAULT;
        builder.policy = new Policy(
                f.millis("keyFreshnessLimitMs", Duration.ZERO, MAX_FRESHNESS_LIMIT, d.keyFreshnessLimit()),
                f.millis("lookupTtlMs", SECOND, MAX_LOOKUP_TTL, d.lookupTtl()),
                f.millis("claimHorizonMs", SECOND, MAX_CLAIM_HORIZON, d.claimHorizon()),
                f.millis("drainLimitMs", SECOND, MAX_DRAIN_LIMIT, d.drainLimit()),
                f.integer("maxBodyBytes", 0, MAX_BODY_BYTES, d.maxBodyBytes()));
    }

    private List<KeyHash> readKeyHashes(ObjectFields f) {
        ArrayNode array = f.array("keyHashes");
        List<KeyHash> hashes = new ArrayList<>();
        for (int i = 0; i < array.size(); i++) {
            JsonNode value = array.get(i);
            String field = "keyHashes";
            String path = JsonPathUtil.element(f.pathOf(field), i);
            try {
                hashes.add(new KeyHash(value.isTextual() ? value.textValue() : ""));
                names.declare(Kind.KEY_HASH, value.textValue(), path);
            } catch (IllegalArgumentException e) {
                f.reportAt(path, "expected the SHA-256 of a key as 64 lower-case hexadecimal digits");
            }
        }
        return hashes;
    }
}
