package org.lycheetray.daemon.log;

/** How log events are written. */
public enum LogFormat {
    /** {@code event=name key=value}. */
    KEY_VALUE,
    /** One JSON object a line. */
    JSON
}
