package org.lycheetray.core.model;

import java.time.Duration;

/**
 * A service with the limits that apply to its requests and backend servers.
 *
 * @param name unique name
 * @param shiftCap limit on the traffic that may move between regions
 * @param timeout maximum duration of a request, including the time in the queue
 * @param coldStart time over which a new backend server is ramped up to its full number of slots
 * @param queueLimit maximum number of requests that may wait for a slot in one data centre
 */
public record Service(ServiceName name, ShiftCap shiftCap, Duration timeout, Duration coldStart, int queueLimit) {}
