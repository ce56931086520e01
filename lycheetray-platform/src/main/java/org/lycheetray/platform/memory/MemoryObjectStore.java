package org.lycheetray.platform.memory;

import java.util.Arrays;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.concurrent.ConcurrentSkipListMap;
import org.lycheetray.platform.ObjectPage;
import org.lycheetray.platform.ObjectStore;
import org.lycheetray.platform.PutResult;
import reactor.core.publisher.Mono;

/** In-memory object store. */
public final class MemoryObjectStore implements ObjectStore {
    private final NavigableMap<String, byte[]> objects = new ConcurrentSkipListMap<>();
    private final FaultInjector faults;

    /** Creates an empty store without faults. */
    public MemoryObjectStore() {
        this(new FaultInjector(0));
    }

    /**
     * Creates an empty store.
     *
     * @param faults faults applied to every call
     */
    public MemoryObjectStore(FaultInjector faults) {
        this.faults = faults;
    }

    @Override
    public Mono<PutResult> putIfAbsent(String name, byte[] content) {
        return faults.apply("object.put", Mono.fromSupplier(() -> putNow(name, content)));
    }

    @Override
    public Mono<Optional<byte[]>> get(String name) {
        return faults.apply(
                "object.get",
                Mono.fromSupplier(() -> Optional.ofNullable(objects.get(name)).map(byte[]::clone)));
    }

    @Override
    public Mono<ObjectPage> list(String prefix, Optional<String> after, int limit) {
        return faults.apply("object.list", Mono.fromSupplier(() -> listNow(prefix, after, limit)));
    }

    private PutResult putNow(String name, byte[] content) {
        byte[] existing = objects.putIfAbsent(name, content.clone());
        if (faults.shouldLoseAnswer()) {
            throw FaultInjector.lost("object.put");
        }
        return existing == null || Arrays.equals(existing, content) ? PutResult.STORED : PutResult.TAKEN;
    }

    private ObjectPage listNow(String prefix, Optional<String> after, int limit) {
        String start = after.filter(a -> a.compareTo(prefix) >= 0).orElse(prefix);
        List<String> found = objects.tailMap(start, after.isEmpty() || !start.equals(after.get())).keySet().stream()
                .takeWhile(n -> n.startsWith(prefix))
                .limit(limit + 1L)
                .toList();
        if (found.size() <= limit) {
            return new ObjectPage(found, Optional.empty());
        }
        return new ObjectPage(found.subList(0, limit), Optional.of(found.get(limit - 1)));
    }
}
