package org.lycheetray.edge.fleet;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.once.RequestDigest;
import org.lycheetray.core.suspect.SuspectRequest;
import org.lycheetray.protocol.generated.SuspectCrash;

/** Encodes the requests that were in flight at crashes for reports between VMs. */
final class SuspectFormat {
    /** Longest age that is distinguished; older crashes are forgotten anyway. */
    private static final Duration MAX_AGE = Duration.ofDays(1);

    private SuspectFormat() {}

    static org.lycheetray.protocol.generated.SuspectRequest encode(SuspectRequest s) {
        List<SuspectCrash> crashes = s.crashes().stream()
                .map(c -> new SuspectCrash(
                        c.server().value(), c.incarnation(), c.age().toMillis()))
                .toList();
        var message = new org.lycheetray.protocol.generated.SuspectRequest(
                s.hash(), s.digest().hex(), crashes);
        s.answered().ifPresent(d -> message.setAnswerAgeMillis(d.toMillis()));
        s.trial().ifPresent(d -> message.setTrialAgeMillis(d.toMillis()));
        return message;
    }

    /** Decodes a message; throws {@link IllegalArgumentException} if a name or the digest is malformed. */
    static SuspectRequest decode(org.lycheetray.protocol.generated.SuspectRequest m) {
        return new SuspectRequest(
                m.getHash(),
                RequestDigest.parse(m.getDigest()),
                m.getCrashes().stream()
                        .map(c -> new SuspectRequest.Crash(
                                new BackendServerName(c.getServer()), c.getIncarnation(), age(c.getAgeMillis())))
                        .toList(),
                m.isSetAnswerAgeMillis() ? Optional.of(age(m.getAnswerAgeMillis())) : Optional.empty(),
                m.isSetTrialAgeMillis() ? Optional.of(age(m.getTrialAgeMillis())) : Optional.empty());
    }

    private static Duration age(long millis) {
        return Duration.ofMillis(Math.clamp(millis, 0, MAX_AGE.toMillis()));
    }
}
