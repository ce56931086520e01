package org.lycheetray.daemon.running;

import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import org.lycheetray.core.model.ClientAccountName;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.daemon.request.AttemptResult;
import org.lycheetray.daemon.request.ClaimGate;
import org.lycheetray.daemon.request.Refusal;
import org.lycheetray.daemon.request.RefusalReason;
import org.lycheetray.daemon.request.RequestContext;
import org.lycheetray.platform.TableService;
import reactor.core.publisher.Mono;

/** Claims each request by a row of its own; a present row means that an attempt may have run. */
public final class TableClaims implements ClaimGate {
    private static final String PREFIX = "claim/";

    private final TableService tables;

    /**
     * Creates the gate.
     *
     * @param tables the table service
     */
    public TableClaims(TableService tables) {
        this.tables = tables;
    }

    @Override
    public Mono<Decision> claim(RequestContext request, String digest) {
        RowKey key = key(request);
        RowChange put =
                new RowChange.Put(key, RowChange.ABSENT, '"' + request.id().value() + '"');
        return tables.write(List.of(put))
                .map(result -> decide(key, result))
                .onErrorResume(e -> Mono.just(unavailable()));
    }

    private static RowKey key(RequestContext request) {
        String account = request.account().map(ClientAccountName::value).orElse("open");
        byte[] key = request.idempotencyKey().orElseThrow().getBytes(StandardCharsets.UTF_8);
        return new RowKey(PREFIX + account + "/" + HexFormat.of().formatHex(key));
    }

    private Decision decide(RowKey key, WriteResult result) {
        return switch (result) {
            case WriteResult.Applied a -> new Decision.Run(new RowClaim(key, a.revision()));
            case WriteResult.Conflict _ ->
                new Decision.Refused(Refusal.of(
                        RefusalReason.EARLIER_ATTEMPT, "an earlier request with this idempotency key may have run"));
            case WriteResult.Unknown _ -> unavailable();
        };
    }

    private static Decision unavailable() {
        return new Decision.Refused(
                Refusal.of(RefusalReason.CLAIM_UNAVAILABLE, "the request could not be recorded before its start"));
    }

    private final class RowClaim implements Claim {
        private final RowKey key;
        private final long revision;

        RowClaim(RowKey key, long revision) {
            this.key = key;
            this.revision = revision;
        }

        @Override
        public boolean mayDispatch() {
            return true;
        }

        @Override
        public Mono<Void> end(AttemptResult result) {
            if (!(result instanceof AttemptResult.NotRun)) {
                return Mono.empty();
            }
            return tables.write(List.of(new RowChange.Delete(key, revision)))
                    .then()
                    .onErrorComplete();
        }
    }
}
