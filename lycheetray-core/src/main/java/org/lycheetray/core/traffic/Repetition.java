package org.lycheetray.core.traffic;

/** What may be done with a request when it is not known whether an attempt has run. */
public enum Repetition {
    /** Idempotent: another backend server may run it too. */
    REPEATABLE,
    /** A second attempt needs proof that no earlier one has run or will run. */
    AT_MOST_ONCE
}
