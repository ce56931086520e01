package org.lycheetray.measure.ledger;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.lycheetray.core.ledger.LedgerLine;
import org.lycheetray.core.model.BackendServerName;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.model.ConfigVersion;
import org.lycheetray.core.model.Outcome;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.model.RequestId;
import org.lycheetray.core.model.Route;
import org.lycheetray.core.model.RouteClass;
import org.lycheetray.core.model.ServiceName;

/** Lines as a VM of today's sizes writes them: 8 client accounts, 36 backend servers, one in 20 refused. */
final class SampleLines {
    private static final int ACCOUNTS = 8;
    private static final int SERVERS = 36;
    private static final double REFUSED_SHARE = 0.05;
    private static final Optional<RegionName> REGION = Optional.of(new RegionName("gogledd"));
    private static final ConfigVersion CONFIG = new ConfigVersion(12);
    private static final Optional<Route> ROUTE =
            Optional.of(new Route("*", "/catalogue", new ServiceName("catalogue"), RouteClass.READ, false));

    private final List<Optional<ClientAccountName>> accounts = IntStream.range(0, ACCOUNTS)
            .mapToObj(i -> Optional.of(new ClientAccountName("client-account-" + i)))
            .toList();
    private final List<Optional<BackendServerName>> servers = IntStream.range(0, SERVERS)
            .mapToObj(i -> Optional.of(new BackendServerName("catalogue-" + i)))
            .toList();
    private final Random random;
    private long number;

    SampleLines(Random random) {
        this.random = random;
    }

    LedgerLine next(Instant time) {
        boolean refused = random.nextDouble() < REFUSED_SHARE;
        RequestId id = new RequestId("gogledd-a-1.mwv3x2k1." + Long.toString(number++, 36));
        return new LedgerLine(
                time,
                id,
                accounts.get(random.nextInt(ACCOUNTS)),
                ROUTE,
                refused ? Optional.empty() : REGION,
                refused ? Outcome.NOT_RUN : Outcome.ANSWERED,
                refused ? "over-rate" : "own-data-centre",
                CONFIG,
                refused ? Optional.empty() : servers.get(random.nextInt(SERVERS)),
                refused ? 0 : 1,
                refused ? 429 : 200);
    }
}
