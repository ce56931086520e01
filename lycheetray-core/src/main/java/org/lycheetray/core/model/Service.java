package org.lycheetray.core.model;

import java.time.Duration;

/**
 * A service and how its backend servers are to be treated.
 *
 * @param name unique name
 * @param shiftCap limit on moves between regions
 * @param timeout longest time that one request may take, queueing included
 * @param coldStart time over which a fresh backend server is brought to its full slots
 * @param queueLimit requests that may wait for a slot in one data centre
 */
public record Service(ServiceName name, ShiftCap shiftCap, Duration timeout, Duration coldStart, int queueLimit) {}
