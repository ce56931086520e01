package org.lycheetray.edge.exchange;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.lycheetray.core.model.ServiceName;

/** Requests that wait for a backend server with free capacity, ordered by priority, then by arrival. */
final class PendingRequests {
    private static final Comparator<Exchange> ORDER =
            Comparator.comparingInt(Exchange::priority).thenComparingLong(Exchange::sequence);

    private final Map<ServiceName, TreeSet<Exchange>> waiting = new HashMap<>();

    void add(ServiceName service, Exchange e) {
        waiting.computeIfAbsent(service, s -> new TreeSet<>(ORDER)).add(e);
    }

    void remove(ServiceName service, Exchange e) {
        TreeSet<Exchange> set = waiting.get(service);
        if (set != null) {
            set.remove(e);
        }
    }

    List<Exchange> inOrder(ServiceName service) {
        TreeSet<Exchange> set = waiting.get(service);
        return set == null ? List.of() : new ArrayList<>(set);
    }

    List<ServiceName> services() {
        return waiting.entrySet().stream()
                .filter(e -> !e.getValue().isEmpty())
                .map(Map.Entry::getKey)
                .toList();
    }

    int size() {
        return waiting.values().stream().mapToInt(TreeSet::size).sum();
    }
}
