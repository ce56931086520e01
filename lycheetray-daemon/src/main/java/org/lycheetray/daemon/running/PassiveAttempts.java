package org.lycheetray.daemon.running;

import java.util.Optional;
import org.lycheetray.core.model.BackendServer;
import org.lycheetray.daemon.log.LogEvent;
import org.lycheetray.daemon.request.AttemptGate;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RequestContext;

/** Logs failed attempts and lets every retry through. */
public final class PassiveAttempts implements AttemptGate {
    @Override
    public Optional<Refusal> check(RequestContext request, String digest) {
        return Optional.empty();
    }

    @Override
    public boolean mayRetry(RequestContext request) {
        return true;
    }

    @Override
    public void started(BackendServer server, RequestContext request, String digest) {}

    @Override
    public void ended(BackendServer server, RequestContext request, String digest, AttemptResult result) {
        if (!(result instanceof AttemptResult.Answered)) {
            LogEvent.of("attempt-failed")
                    .with("request", request.id())
                    .with("step", "attempt")
                    .with("peer", server.name())
                    .with("result", result)
                    .warn();
        }
    }
}
