package org.lycheetray.edge.settings;

import java.util.Locale;

/**
 * Settings of an entry VM, given as {@code LYCHEETRAY_NAME=value} in the settings file or the environment, or as a flag
 * on the command line.
 */
public enum EdgeSetting {
    /** Name of this VM. */
    VM("name of this VM", ""),
    /** Data centre of this VM. */
    DATA_CENTRE("data centre of this VM", ""),
    /** Mapping from data centre to region. */
    REGIONS("region of every data centre, as dc:region,dc:region", ""),
    /** Listen address for caller requests. */
    CALLERS("host:port for requests of callers", ""),
    /** Listen address for readiness checks. */
    READINESS("host:port for readiness checks", ""),
    /** Listen address for look-ups. */
    LOOKUPS("host:port for look-ups", ""),
    /** UDP address for reports between VMs. */
    REPORTS("host:port for reports of other VMs, UDP", ""),
    /** Listen address for metrics. */
    METRICS("host:port for metrics; empty to serve none", ""),
    /** Address of the store. */
    STORE("host:port of the store", ""),
    /** Memory of the process in MB; the limit for bodies follows from the heap. */
    MEMORY_MB("memory of the whole process in MB; not used, the limit for bodies follows from the heap", "430"),
    /** Open descriptors, of which each listener may use a part for its connections. */
    MAX_DESCRIPTORS(
            "descriptors that the process may open; each listener accepts connections up to a part of them", "4100"),
    /** Grace period of a planned stop in seconds. */
    GRACE_S("seconds from the stop request until the process is killed", "6"),
    /** Longest TTL of a look-up answer in seconds. */
    LOOKUP_TTL_S("longest time in seconds that callers cache a look-up answer", "5"),
    /** Fleet-wide ratio of retries to requests. */
    RETRY_RATIO("retries per request, over the whole fleet", "0.2"),
    /** Fleet-wide retries beyond the ratio. */
    RETRY_EXTRA("additional retries in a window, over the whole fleet", "50"),
    /** Window of the retry limit in seconds. */
    RETRY_WINDOW_S("window of the retry limit in seconds", "10"),
    /** Window of client account rate limits in seconds. */
    QUOTA_WINDOW_S("window of client account rate limits in seconds", "5"),
    /** Fraction by which the fleet may exceed a client account's rate. */
    QUOTA_OVERAGE("fraction by which a client account's rate may be exceeded", "0.1"),
    /** Requests by which the fleet may exceed a client account's rate. */
    QUOTA_SLACK("requests by which a client account's rate may be exceeded", "20"),
    /** Factor by which a cold backend server's rate may be exceeded. */
    COLD_OVERAGE("factor by which a cold backend server's rate may be exceeded", "1.5"),
    /** Requests per second that a cold backend server may receive beyond its rate. */
    COLD_SLACK("additional requests per second that a cold backend server may receive", "5"),
    /** Largest fraction of a region's requests that may move to another region within 2 s. */
    MAX_SHIFT("largest fraction of a region's requests that may move to another region within 2 s", "0.15");

    /** Prefix of every setting's name in the settings file and the environment. */
    public static final String PREFIX = "LYCHEETRAY_";

    private final String description;
    private final String defaultValue;

    EdgeSetting(String description, String standard) {
        this.description = description;
        this.defaultValue = standard;
    }

    /**
     * Returns the description of this setting.
     *
     * @return one line of text
     */
    public String description() {
        return description;
    }

    /**
     * Returns the default value.
     *
     * @return the value, or an empty string if there is none
     */
    public String defaultValue() {
        return defaultValue;
    }

    /**
     * Returns the name of this setting in the settings file and the environment.
     *
     * @return the name including the prefix
     */
    public String variableName() {
        return PREFIX + name();
    }

    /**
     * Returns the command-line flag of this setting.
     *
     * @return the flag without leading hyphens
     */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
