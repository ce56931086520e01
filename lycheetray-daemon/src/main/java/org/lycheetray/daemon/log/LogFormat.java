package org.lycheetray.daemon.log;

/** Output format of log events. */
public enum LogFormat {
    /** {@code event=name key=value}. */
    KEY_VALUE,
    /** One JSON object per line. */
    JSON
}
