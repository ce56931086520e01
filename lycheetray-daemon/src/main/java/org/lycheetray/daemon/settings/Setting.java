package org.lycheetray.daemon.settings;

import java.util.Locale;

/** The settings that a flag or an environment variable gives; a flag goes before its variable. */
enum Setting {
    VM("vm", "NAME", "this VM's name in the manifest", null),
    DATA_CENTRE("data-centre", "NAME", "data centre that this VM stands in", null),
    CALLERS("callers", "HOST:PORT", "address to listen on for callers (HTTP)", null),
    PEERS("peers", "HOST:PORT", "address to listen on for other entry VMs", null),
    SEEDS("seeds", "HOST:PORT,...", "peers to ask for the configuration while the platform is out of reach", ""),
    PLATFORM("platform", "URL", "base URL of the platform's table service and object store", null),
    FLEET_SECRET_FILE("fleet-secret-file", "FILE", "file with the secret shared by the fleet", null),
    LOG_FORMAT("log-format", "FORMAT", "key-value or json", "key-value"),
    LOG_LEVEL("log-level", "LEVEL", "trace, debug, info, warn or error", "info");

    private final String flag;
    private final String argument;
    private final String description;
    private final String standard;

    Setting(String flag, String argument, String description, String standard) {
        this.flag = flag;
        this.argument = argument;
        this.description = description;
        this.standard = standard;
    }

    String flag() {
        return flag;
    }

    String argument() {
        return argument;
    }

    String standard() {
        return standard;
    }

    String variable() {
        return "LYCHEETRAY_" + flag.replace('-', '_').toUpperCase(Locale.ROOT);
    }

    String description() {
        String otherwise = standard == null ? "required" : "default '" + standard + "'";
        return description + " [" + variable() + "; " + otherwise + "]";
    }
}
