package org.lycheetray.core.model;

/** What the system can truthfully say of a request. */
public enum Outcome {
    /** The backend server's whole answer was passed on. */
    ANSWERED("answered"),
    /** No backend server has run the request or will run it. */
    NOT_RUN("not-run"),
    /** It may or may not have run. */
    UNKNOWN("unknown");

    private final String label;

    Outcome(String label) {
        this.label = label;
    }

    /**
     * Gives the text used in headers, reports and metrics.
     *
     * @return the label
     */
    public String label() {
        return label;
    }
}
