package org.lycheetray.daemon.settings;

/**
 * A setting that is missing or has an impossible value.
 *
 * @param setting name of the flag
 * @param value value given, empty if none; never a secret
 * @param expected what would have been right
 */
public record SettingsError(String setting, String value, String expected) {
    @Override
    public String toString() {
        String given = value.isEmpty() ? "is missing" : "is '" + value + "'";
        return "--" + setting + " " + given + "; expected " + expected;
    }
}
