package org.lycheetray.core.health;

/** Outcome of one request, as evidence of the health of the backend server to which it was sent. */
public enum Evidence {
    /** A complete response with a status below 500. */
    ANSWERED(0),
    /** A complete response with a status of 500 or above, other than a shed request. */
    SERVER_ERROR(1),
    /** No response before the timeout. */
    TIMEOUT(2),
    /** The connection was closed before a response was received. */
    CONNECTION_LOST(3),
    /** The connection was refused or could not be established. */
    CONNECT_FAILED(3);

    private final int weight;

    Evidence(int weight) {
        this.weight = weight;
    }

    int weight() {
        return weight;
    }
}
