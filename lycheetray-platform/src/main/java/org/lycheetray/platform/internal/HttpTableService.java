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

/** The table service over HTTP. */
public final class HttpTableService implements TableService {
    private static final String READ = "table.read";
    private static final String SCAN = "table.scan";
    private static final String WRITE = "table.write";
    private static final byte[] NO_BODY = {};

    private final PlatformHttp http;

    /**
     * Creates an adapter.
     *
     * @param http sends the requests
     */
    public HttpTableService(PlatformHttp http) {
        this.http = http;
    }

    @Override
    public Mono<Optional<Row>> read(RowKey key) {
        String uri = PlatformPaths.ROW + "?key=" + PlatformHttp.encode(key.value());
        return http.sendRepeatable(READ, HttpMethod.GET, uri, NO_BODY).map(r -> switch (r.status()) {
            case 200 -> Optional.of(http.parse(READ, r, WireRow.class).toRow());
            case 404 -> Optional.empty();
            default -> throw http.unexpected(READ, r);
        });
    }

    @Override
    public Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit) {
        String uri = PlatformPaths.SCAN + "?prefix=" + PlatformHttp.encode(prefix) + "&limit=" + limit
                + after.map(a -> "&after=" + PlatformHttp.encode(a.value())).orElse("");
        return http.sendRepeatable(SCAN, HttpMethod.GET, uri, NO_BODY).map(r -> {
            if (r.status() != 200) {
                throw http.unexpected(SCAN, r);
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
                .onErrorResume(this::toDoubt);
    }

    private Mono<WriteResult> toResult(PlatformHttp.Reply r) {
        if (r.status() == 200) {
            return Mono.fromSupplier(() -> applied(r));
        }
        if (r.status() == 409) {
            return Mono.fromSupplier(() -> new WriteResult.Conflict(toRows(http.parse(WRITE, r, WireRows.class))));
        }
        if (r.isBusy()) {
            return r.notWritten()
                    ? Mono.error(new PlatformHttp.BusyException(r.text()))
                    : Mono.just(
                            new WriteResult.Unknown(http.unexpected(WRITE, r).getMessage()));
        }
        return Mono.error(http.unexpected(WRITE, r));
    }

    private WriteResult applied(PlatformHttp.Reply r) {
        return new WriteResult.Applied(http.parse(WRITE, r, WireApplied.class).revision());
    }

    private Mono<WriteResult> toDoubt(Throwable e) {
        String cause = http.failure(WRITE, e).getMessage();
        return e instanceof PlatformHttp.TransportException t && !t.isUnsent()
                ? Mono.just(new WriteResult.Unknown(cause))
                : Mono.error(http.failure(WRITE, e));
    }

    private static boolean isProvablyNotWritten(Throwable e) {
        return e instanceof PlatformHttp.BusyException
                || (e instanceof PlatformHttp.TransportException t && t.isUnsent());
    }

    private static List<Row> toRows(WireRows body) {
        return body.rows().stream().map(WireRow::toRow).toList();
    }
}
