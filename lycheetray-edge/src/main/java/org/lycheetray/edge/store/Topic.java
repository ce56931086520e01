package org.lycheetray.edge.store;

/** Topics of the store, each of which is read and followed separately. */
public enum Topic {
    /** Configurations and evacuations of data centres, written by operators. */
    OPERATOR,
    /** Entries of backend servers, written by the servers. */
    SERVERS
}
