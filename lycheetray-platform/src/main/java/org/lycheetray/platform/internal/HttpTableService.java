package org.lycheetray.platform.internal;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import org.lycheetray.platform.ScanPage;
import org.lycheetray.platform.TableService;
import org.lycheetray.platform.wire.PlatformPaths;
import org.lycheetray.platform.wire.WireApplied;
import org.lycheetray.platform.wire.WireRow;
import org.lycheetray.platform.wire.WireRows;
import org.lycheetray.platform.wire.WireWrite;
import reactor.core.publisher.Mono;

/** HTTP client of the platform's table service. */
public final class HttpTableService implements TableService {
    private static final String READ = "table.read";
    private static final String SCAN = "table.scan";
    private static final String WRITE = "table.write";
    private static final byte[] NO_BODY = {};

    private final PlatformHttpClient http;

    /**
     * Creates a table service.
     *
     * @param http HTTP client for the requests
     */
    public HttpTableService(PlatformHttpClient http) {
        this.http = http;
    }

    @Override
    public Mono<Optional<Row>> read(RowKey key) {
        String uri = PlatformPaths.ROW + "?key=" + PlatformHttpClient.encode(key.value());
        return http.sendIdempotent(READ, HttpMethod.GET, uri, NO_BODY).map(r -> switch (r.status()) {
            case 200 -> Optional.of(http.parse(READ, r, WireRow.class).toRow());
            case 404 -> Optional.empty();
            default -> throw http.unexpectedReply(READ, r);
        });
    }

    @Override
    public Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit) {
        String uri = PlatformPaths.SCAN + "?prefix=" + PlatformHttpClient.encode(prefix) + "&limit=" + limit
                + after.map(a -> "&after=" + PlatformHttpClient.encode(a.value()))
                        .orElse("");
        return http.sendIdempotent(SCAN, HttpMethod.GET, uri, NO_BODY).map(r -> {
            if (r.status() != 200) {
                throw http.unexpectedReply(SCAN, r);
            }
            WireRows body = http.parse(SCAN, r, WireRows.class);
            return new ScanPage(toRows(body), Optional.ofNullable(body.next()).map(RowKey::new));
        });
    }

    @Override
    public Mono<WriteResult> write(List<RowChange> changes) {
        byte[] body = http.toBytes(WireWrite.of(changes));
        return http.send(WRITE, HttpMethod.POST, PlatformPaths.WRITE, body)
                .flatMap(this::toResult)
                .retryWhen(http.retry(HttpTableService::isProvablyNotWritten))
                .onErrorResume(this::toUnknownOrError);
    }

    private Mono<WriteResult> toResult(PlatformHttpClient.Reply r) {
        if (r.status() == 200) {
            return Mono.fromSupplier(() -> toApplied(r));
        }
        if (r.status() == 409) {
            return Mono.fromSupplier(() -> new WriteResult.Conflict(toRows(http.parse(WRITE, r, WireRows.class))));
        }
        if (r.isUnavailable()) {
            return r.notWritten()
                    ? Mono.error(new PlatformHttpClient.UnavailableException(r.bodyExcerpt()))
                    : Mono.just(new WriteResult.Unknown(
                            http.unexpectedReply(WRITE, r).getMessage()));
        }
        return Mono.error(http.unexpectedReply(WRITE, r));
    }

    private WriteResult toApplied(PlatformHttpClient.Reply r) {
        return new WriteResult.Applied(http.parse(WRITE, r, WireApplied.class).revision());
    }

    private Mono<WriteResult> toUnknownOrError(Throwable e) {
        String cause = http.toPlatformException(WRITE, e).getMessage();
        return e instanceof PlatformHttpClient.TransportException t && !t.isUnsent()
                ? Mono.just(new WriteResult.Unknown(cause))
                : Mono.error(http.toPlatformException(WRITE, e));
    }

    private static boolean isProvablyNotWritten(Throwable e) {
        return e instanceof PlatformHttpClient.UnavailableException
                || (e instanceof PlatformHttpClient.TransportException t && t.isUnsent());
    }

    private static List<Row> toRows(WireRows body) {
        return body.rows().stream().map(WireRow::toRow).toList();
    }
}
