package org.lycheetray.daemon.request;

/** Learns of every request that has ended, answered or refused. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Takes a finished request; called on an event loop and must not block.
     *
     * @param request the request
     */
    void finished(FinishedRequest request);
}
