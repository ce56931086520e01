package org.lycheetray.core.placement.internal;

import java.util.LinkedHashMap;
import java.util.Map;

/** The objects that a backend server probably has cached, based on the requests sent by this VM. */
final class CachedObjects {
    /**
     * Number of objects that a server is assumed to have cached. Servers with smaller caches show longer processing
     * times, which placement takes into account.
     */
    private static final int MAX_OBJECTS = 32;

    private final LinkedHashMap<String, Boolean> objects = new LinkedHashMap<>(MAX_OBJECTS * 2, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > MAX_OBJECTS;
        }
    };

    boolean contains(String object) {
        return objects.containsKey(object);
    }

    void add(String object) {
        objects.put(object, Boolean.TRUE);
    }

    void clear() {
        objects.clear();
    }
}
