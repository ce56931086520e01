package org.lycheetray.platform;

import java.util.Optional;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/**
 * The platform's object store: immutable objects under names that sort as text.
 *
 * <p>Nothing is sent before subscription. Failures arrive as {@link PlatformException}.
 */
public interface ObjectStore {
    /** Names fetched at a time by {@link #listAll}. */
    int LIST_PAGE_NAMES = 500;

    /** Most names that one list call may return. */
    int MAX_LIST_NAMES = 1_000;

    /**
     * Stores an object unless its name is taken.
     *
     * <p>Repeating a call with the same content is harmless, so that a lost answer is settled within. After an error
     * the object may or may not have been stored.
     *
     * @param name name of the object
     * @param content its bytes
     * @return whether the name holds this content now
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
     * Lists names in order.
     *
     * @param prefix text that the names start with
     * @param after last name of the preceding page, empty to start at the first
     * @param limit most names to return, 1 to {@value #MAX_LIST_NAMES}
     * @return the names and where to go on
     */
    Mono<ObjectPage> list(String prefix, Optional<String> after, int limit);

    /**
     * Lists all names in order, page after page.
     *
     * @param prefix text that the names start with
     * @return the names
     */
    default Flux<String> listAll(String prefix) {
        return list(prefix, Optional.empty(), LIST_PAGE_NAMES)
                .expand(p -> p.next().isEmpty() ? Mono.empty() : list(prefix, p.next(), LIST_PAGE_NAMES))
                .flatMapIterable(ObjectPage::names);
    }
}
