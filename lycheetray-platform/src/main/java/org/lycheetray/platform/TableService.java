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
 * <p>Requests are sent on subscription, and each subscription sends a new request. Failures are signalled as {@link
 * PlatformException}.
 */
public interface TableService {
    /** Page size of {@link #scanAll}, in rows. */
    int SCAN_PAGE_ROWS = 500;

    /** Maximum number of rows returned by one scan. */
    int MAX_SCAN_ROWS = 1_000;

    /**
     * Reads one row.
     *
     * @param key key of the row
     * @return the row, or empty if there is none
     */
    Mono<Optional<Row>> read(RowKey key);

    /**
     * Reads one page of rows in key order.
     *
     * @param prefix prefix of the keys to read
     * @param after last key of the preceding page, empty for the first page
     * @param limit maximum number of rows, 1 to {@value #MAX_SCAN_ROWS}
     * @return the rows and the start of the next page; each page is a consistent snapshot, consecutive pages are not
     */
    Mono<ScanPage> scan(String prefix, Optional<RowKey> after, int limit);

    /**
     * Applies all changes atomically, or none if a condition fails.
     *
     * <p>A write is sent again only if the previous attempt provably was not applied. A lost response gives {@link
     * WriteResult.Unknown}, which {@link WriteResolvingTableService} resolves.
     *
     * @param changes one or more changes, at most one per key
     * @return the result; an error means that nothing was written
     */
    Mono<WriteResult> write(List<RowChange> changes);

    /**
     * Reads the first page of rows in key order.
     *
     * @param prefix prefix of the keys to read
     * @param limit maximum number of rows, 1 to {@value #MAX_SCAN_ROWS}
     * @return the rows and the start of the next page
     */
    default Mono<ScanPage> scan(String prefix, int limit) {
        return scan(prefix, Optional.empty(), limit);
    }

    /**
     * Reads all rows in key order, page by page.
     *
     * @param prefix prefix of the keys to read
     * @return the rows
     */
    default Flux<Row> scanAll(String prefix) {
        return scan(prefix, Optional.empty(), SCAN_PAGE_ROWS)
                .expand(p -> p.next().isEmpty() ? Mono.empty() : scan(prefix, p.next(), SCAN_PAGE_ROWS))
                .flatMapIterable(ScanPage::rows);
    }
}
