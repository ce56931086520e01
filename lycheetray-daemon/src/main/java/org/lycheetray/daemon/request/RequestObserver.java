package org.lycheetray.daemon.request;

/** Listener that is called for every finished request, answered or refused. */
@FunctionalInterface
public interface RequestObserver {
    /**
     * Handles a finished request. It is called on an event loop and must not block.
     *
     * @param request the request
     */
    void onRequestFinished(FinishedRequest request);
}
