package org.lycheetray.edge.store;

/** The kinds of records that the edge follows. */
public enum Topic {
    /** Desired state and evacuations, written by operators. */
    OPERATOR,
    /** Backend servers, written by themselves. */
    SERVERS
}
