package org.lycheetray.core.health;

/** What one request showed of the backend server that it was sent to. */
public enum Evidence {
    /** A whole answer with a status below 500. */
    ANSWERED(0),
    /** A whole answer with a status of 500 or above that is no shedding. */
    SERVER_ERROR(1),
    /** No answer in time. */
    TIMEOUT(2),
    /** The connection ended with the request unanswered. */
    CONNECTION_LOST(3),
    /** The connection was refused or could not be made. */
    CONNECT_FAILED(3);

    private final int weight;

    Evidence(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
