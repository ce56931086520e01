package org.lycheetray.edge.settings;

import java.util.Locale;

/** The settings that an edge knows: as {@code LYCHEETRAY_NAME=value} in file or environment, as a flag on the command line. */
public enum EdgeSetting {
    /** Name of this VM. */
    VM("name of this VM", ""),
    /** Data centre of this VM. */
    DATA_CENTRE("data centre that this VM stands in", ""),
    /** Region of every data centre. */
    REGIONS("region of every data centre, as dc:region,dc:region", ""),
    /** Address for callers. */
    CALLERS("host:port for callers", ""),
    /** Address for readiness. */
    READINESS("host:port where readiness is asked for", ""),
    /** Address for look-ups. */
    LOOKUPS("host:port where look-ups are answered", ""),
    /** Address for reports between VMs. */
    REPORTS("host:port for reports of other VMs, UDP", ""),
    /** Address for metrics. */
    METRICS("host:port for metrics; empty for none", ""),
    /** Address of the store. */
    STORE("host:port of the store", ""),
    /** Memory of the process. */
    MEMORY_MB("memory of the whole process in MB", "430"),
    /** Grace period of a planned stop. */
    GRACE_S("seconds from the request to stop until the process is killed", "6"),
    /** Life of a look-up's answer. */
    LOOKUP_TTL_S("longest time in seconds that callers keep a look-up's answer", "5"),
    /** Ratio of further attempts. */
    RETRY_RATIO("further attempts per request, over the fleet", "0.2"),
    /** Further attempts on top. */
    RETRY_EXTRA("further attempts on top in a window, over the fleet", "50"),
    /** Window of further attempts. */
    RETRY_WINDOW_S("window of the two settings before, in seconds", "10"),
    /** Window of rates. */
    QUOTA_WINDOW_S("window in which a client account's rate is judged, in seconds", "5"),
    /** Tolerated share beyond a rate. */
    QUOTA_OVERAGE("tolerated share beyond a client account's rate", "0.1"),
    /** Tolerated requests beyond a rate. */
    QUOTA_SLACK("tolerated requests beyond a client account's rate", "20"),
    /** Factor for cold servers. */
    COLD_OVERAGE("factor by which a cold backend server's rate may be exceeded", "1.5"),
    /** Requests on top for cold servers. */
    COLD_SLACK("requests in a second that a cold backend server may get on top", "5"),
    /** Limit on moves between regions. */
    MAX_SHIFT("largest part of a region's requests that may change the region they run in within 2 s", "0.15");

    /** Begins the name of every setting in file and environment. */
    public static final String PREFIX = "LYCHEETRAY_";

    private final String description;
    private final String standard;

    EdgeSetting(String description, String standard) {
        this.description = description;
        this.standard = standard;
    }

    /**
     * What it sets.
     *
     * @return one line
     */
    public String description() {
        return description;
    }

    /**
     * Its value if it is not set.
     *
     * @return the value; empty if it must be set
     */
    public String standard() {
        return standard;
    }

    /**
     * Its name in file and environment.
     *
     * @return the name
     */
    public String variable() {
        return PREFIX + name();
    }

    /**
     * Its flag on the command line.
     *
     * @return the flag without hyphens in front
     */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
