package org.lycheetray.daemon.settings;

import java.util.Locale;

/** Settings that can be given by a flag or by an environment variable; the flag takes precedence. */
enum Setting {
    VM("vm", "NAME", "name of the local VM in the manifest", null),
    DATA_CENTRE("data-centre", "NAME", "data centre of the local VM", null),
    CALLERS("callers", "HOST:PORT", "address to listen on for callers (HTTP)", null),
    PEERS("peers", "HOST:PORT", "address to listen on for other entry VMs", null),
    SEEDS("seeds", "HOST:PORT,...", "peers to request the configuration from while the platform is unreachable", ""),
    PLATFORM("platform", "URL", "base URL of the platform's table service and object store", null),
    FLEET_SECRET_FILE("fleet-secret-file", "FILE", "file that contains the secret shared by all entry VMs", null),
    MAX_DESCRIPTORS(
            "max-descriptors", "N", "open file descriptors that the process may use, connections included", "4100"),
    LOG_FORMAT("log-format", "FORMAT", "key-value or json", "key-value"),
    LOG_LEVEL("log-level", "LEVEL", "trace, debug, info, warn or error", "info");

    private final String flag;
    private final String argumentName;
    private final String description;
    private final String defaultValue;

    Setting(String flag, String argumentName, String description, String defaultValue) {
        this.flag = flag;
        this.argumentName = argumentName;
        this.description = description;
        this.defaultValue = defaultValue;
    }

    String flag() {
        return flag;
    }

    String argumentName() {
        return argumentName;
    }

    String defaultValue() {
        return defaultValue;
    }

    String environmentVariable() {
        return "LYCHEETRAY_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String description() {
        String requirement = defaultValue == null ? "required" : "default '" + defaultValue + "'";
        return description + " [" + environmentVariable() + "; " + requirement + "]";
    }
}
