package org.lycheetray.core.manifest;

import java.nio.charset.StandardCharsets;

/** A small valid manifest as text, which tests modify. Single quotes stand for double quotes to keep it readable. */
final class ManifestFixture {
    static final String VALID = """
            {'format':1,
             'regions':[{'name':'north','dataCentres':[{'name':'north-a','entryVms':[
               {'name':'north-a-1','callers':'127.0.0.1:8101','peers':'127.0.0.1:9101'}]}]},
              {'name':'south','dataCentres':[{'name':'south-a','entryVms':[]}]}],
             'links':[{'from':'north','to':'south','mbitPerSecond':4000,'oneWayDelayMs':12}],
             'services':[{'name':'catalogue','timeoutMs':5000,'coldStartMs':100,'queueLimit':10,
               'shiftCap':{'permille':200,'intervalMs':10000},
               'backendServers':[{'name':'catalogue-1','dataCentre':'north-a','address':'127.0.0.1:7001',
                 'slots':3,'connections':330}]}],
             'routes':[{'host':'*','pathPrefix':'/catalogue','service':'catalogue','class':'read','open':false}],
             'clientAccounts':[{'name':'shop','keyHashes':['HASH'],'ratePerSecond':50,'burst':100,'weight':1}],
             'clientBlocks':[{'cidr':'127.0.0.0/8','region':'north'}],
             'plannedDrains':[{'target':{'region':'south'},
               'start':'2026-12-04T10:00:00Z','end':'2026-12-04T11:00:00Z'}],
             'policy':{'keyFreshnessLimitMs':10000,'lookupTtlMs':30000,'claimHorizonMs':86400000,
               'drainLimitMs':60000,'maxBodyBytes':1048576}}
            """.replace("HASH", "a".repeat(64));

    private ManifestFixture() {}

    static byte[] bytes(String text) {
        return text.replace('\'', '"').getBytes(StandardCharsets.UTF_8);
    }

    static String validWith(String old, String replacement) {
        if (!VALID.contains(old)) {
            throw new IllegalArgumentException("text to replace is not in the valid manifest: " + old);
        }
        return VALID.replace(old, replacement);
    }
}
