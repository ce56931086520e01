package org.lycheetray.core.ledger;

import java.time.Instant;
import java.util.Optional;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Incarnation;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.ServiceName;
import org.lycheetray.core.model.VmName;

/** Creates ledger lines for tests. */
final class LedgerLines {
    static final Instant START = Instant.parse("2026-12-04T05:00:00Z");
    static final Incarnation INCARNATION = new Incarnation(new VmName("de-a-1"), START.toEpochMilli());

    private LedgerLines() {}

    static LedgerLine line(int i) {
        return line(i, "members", Outcome.ANSWERED, START.plusMillis(i));
    }

    static LedgerLine line(int i, String account, Outcome outcome, Instant time) {
        return new LedgerLine(
                time,
                new RequestId("de-a-1.x." + i),
                Optional.of(account).filter(a -> !a.isEmpty()).map(ClientAccountName::new),
                Optional.of(new Route("*", "/catalogue", new ServiceName("catalogue"), RouteClass.READ, false)),
                Optional.of(new RegionName("de")),
                outcome,
                outcome == Outcome.ANSWERED ? "nearest" : "over-rate",
                new ConfigVersion(3),
                Optional.of(new BackendServerName("catalogue-1")),
                1,
                200);
    }
}
