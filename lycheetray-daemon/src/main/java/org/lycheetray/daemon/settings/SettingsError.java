package org.lycheetray.daemon.settings;

/**
 * A setting that is missing or has an invalid value.
 *
 * @param setting name of the flag without the leading hyphens, empty for a malformed command line
 * @param value the given value, empty if there is none; never a secret
 * @param expected description of a valid value
 */
public record SettingsError(String setting, String value, String expected) {
    @Override
    public String toString() {
        String given = value.isEmpty() ? "is missing" : "is '" + value + "'";
        return "--" + setting + " " + given + "; expected " + expected;
    }
}
