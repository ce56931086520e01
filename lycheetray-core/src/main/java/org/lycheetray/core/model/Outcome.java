package org.lycheetray.core.model;

/** The outcome of a request as far as the system knows it. */
public enum Outcome {
    /** The complete answer of a backend server was returned to the caller. */
    ANSWERED("answered"),
    /** No backend server has run the request, and none will run it. */
    NOT_RUN("not-run"),
    /** A backend server may have run the request. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Returns the text that headers, reports and metrics use.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
