package org.lycheetray.platform;

import java.util.List;
import java.util.Optional;
import org.lycheetray.core.table.Row;
import org.lycheetray.core.table.RowChange;
import org.lycheetray.core.table.RowKey;
import org.lycheetray.core.table.WriteResult;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's transactional table service.
 *
 * <p>Nothing is sent before subscription, and every subscription sends anew. Failures arrive as {@link
 * PlatformException}.
 */
public interface TableService {
    /** Rows fetched at a time by {@link #scanAll}. */
    int SCAN_PAGE_ROWS = 500;

    /** Most rows that one scan may return. */
    int MAX_SCAN_ROWS = 1_000;

    /**
     * Reads one row.
     *
     * @param key key of the row
     * @return the row, or empty if there is none
     */
    Mono<Optional<Row>> read(RowKey key);

    /**
     * Reads rows in key order.
     *
     * @param prefix text that the keys start with
     * @param after last key of the preceding page, empty to start at the first
     * @param limit most rows to return, 1 to {@value #MAX_SCAN_ROWS}
     * @return the rows and where to go on; a page is consistent in itself, several pages together are not
     */
    Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit);

    /**
     * Applies all changes together, or none if a condition fails.
     *
     * <p>A write is sent at most once unless it provably never left. A lost answer gives {@link WriteResult.Unknown};
     * {@link SettlingTableService} resolves it.
     *
     * @param changes at least one change, at most one for each key
     * @return what is known of the write; an error means that nothing was written
     */
    Mono<WriteResult> write(List<RowChange> changes);

    /**
     * Reads the first rows in key order.
     *
     * @param prefix text that the keys start with
     * @param limit most rows to return, 1 to {@value #MAX_SCAN_ROWS}
     * @return the rows and where to go on
     */
    default Mono<ScanPage> scan(String prefix, int limit) {
        return scan(prefix, Optional.empty(), limit);
    }

    /**
     * Reads all rows in key order, page after page.
     *
     * @param prefix text that the keys start with
     * @return the rows
     */
    default Flux<Row> scanAll(String prefix) {
        return scan(prefix, Optional.empty(), SCAN_PAGE_ROWS)
                .expand(p -> p.next().isEmpty() ? Mono.empty() : scan(prefix, p.next(), SCAN_PAGE_ROWS))
                .flatMapIterable(ScanPage::rows);
    }
}
