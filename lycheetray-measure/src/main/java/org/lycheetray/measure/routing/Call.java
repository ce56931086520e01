package org.lycheetray.measure.routing;

/**
 * One request on its way.
 *
 * @param vm entry VM
 * @param dataCentre data centre of the entry VM
 * @param enteredAt when it entered
 * @param serviceNanos time that a backend server needs for it
 * @param result receives its end
 */
record Call(int vm, int dataCentre, long enteredAt, long serviceNanos, Results result) {}
