package org.lycheetray.platform;

import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's object store: immutable objects, listed in lexicographic order of their names.
 *
 * <p>Requests are sent on subscription. Failures are signalled as {@link PlatformException}.
 */
public interface ObjectStore {
    /** Page size of {@link #listAll}, in names. */
    int LIST_PAGE_NAMES = 500;

    /** Maximum number of names returned by one list call. */
    int MAX_LIST_NAMES = 1_000;

    /**
     * Stores an object unless its name holds other content.
     *
     * <p>The call is idempotent for equal content and is repeated internally after a lost response. After an error the
     * object may or may not have been stored.
     *
     * @param name name of the object
     * @param content content of the object
     * @return whether the name now holds this content
     */
    Mono<PutResult> putIfAbsent(String name, byte[] content);

    /**
     * Reads an object.
     *
     * @param name name of the object
     * @return its bytes, or empty if there is no such object
     */
    Mono<Optional<byte[]>> get(String name);

    /**
     * Lists one page of names in lexicographic order.
     *
     * @param prefix prefix of the names to list
     * @param after last name of the preceding page, empty for the first page
     * @param limit maximum number of names, 1 to {@value #MAX_LIST_NAMES}
     * @return the names and the start of the next page
     */
    Mono<ObjectPage> list(String prefix, Optional<String> after, int limit);

    /**
     * Lists all names in lexicographic order, page by page.
     *
     * @param prefix prefix of the names to list
     * @return the names
     */
    default Flux<String> listAll(String prefix) {
        return list(prefix, Optional.empty(), LIST_PAGE_NAMES)
                .expand(p -> p.next().isEmpty() ? Mono.empty() : list(prefix, p.next(), LIST_PAGE_NAMES))
                .flatMapIterable(ObjectPage::names);
    }
}
