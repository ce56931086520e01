package org.lycheetray.core.placement.internal;

import java.util.LinkedHashMap;
import java.util.Map;

/** The objects that a backend server has handled lately, as far as this VM knows. */
final class WarmObjects {
    /** Objects that a server is taken to remember; some remember fewer, which its work times then show. */
    private static final int REMEMBERED = 32;

    private final LinkedHashMap<String, Boolean> objects = new LinkedHashMap<>(REMEMBERED * 2, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Boolean> eldest) {
            return size() > REMEMBERED;
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
