package org.lycheetray.measure.admission;

/** What fails in a run. */
enum Fault {
    NONE,
    /** One data centre exchanges no message with any other for a third of the run. */
    DATA_CENTRE_CUT_OFF,
    /** The table service is down for a third of the run, and a process restarts meanwhile. */
    STORE_DOWN,
    /** Processes die and restart, and one VM is gone for good. */
    VM_DEATHS
}
