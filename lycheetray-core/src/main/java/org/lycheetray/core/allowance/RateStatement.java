package org.lycheetray.core.allowance;

/** What an answer of a backend server says about the rate of requests that the server accepts from all VMs together. */
public sealed interface RateStatement {
    /**
     * The server limits the requests of all VMs together.
     *
     * @param perSecond requests per second, 0 or more
     */
    record Limited(double perSecond) implements RateStatement {}

    /** The server does not limit its requests. */
    record Unlimited() implements RateStatement {}

    /**
     * The limit could not be parsed; the last known one remains in force.
     *
     * @param value the value as received
     */
    record Unreadable(String value) implements RateStatement {}
}
