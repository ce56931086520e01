package org.lycheetray.core.manifest.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Registers the names that a manifest declares and references, and reports duplicate names and unresolved references.
 *
 * <p>A reference to a name that is declared already is not stored, so that a manifest with more than a million client
 * blocks needs no memory here for their references if its regions come first.
 */
final class NameRegistry {
    /** Kinds of named elements; names are unique within a kind. */
    enum Kind {
        REGION("region"),
        DATA_CENTRE("data centre"),
        VM("entry VM"),
        SERVICE("service"),
        BACKEND_SERVER("backend server"),
        CLIENT_ACCOUNT("client account"),
        KEY_HASH("key hash"),
        ADDRESS("address"),
        ROUTE("route"),
        LINK("link"),
        CLIENT_BLOCK("client block");

        private final String label;

        Kind(String label) {
            this.label = label;
        }
    }

    private record Reference(Kind kind, String name, String path) {}

    private final ManifestErrorCollector collector;
    private final Map<Kind, Map<String, String>> declaredPaths = new EnumMap<>(Kind.class);
    private final List<Reference> unresolved = new ArrayList<>();

    NameRegistry(ManifestErrorCollector collector) {
        this.collector = collector;
        for (Kind kind : Kind.values()) {
            declaredPaths.put(kind, new HashMap<>());
        }
    }

    void declare(Kind kind, String name, String path) {
        String first = declaredPaths.get(kind).putIfAbsent(name, path);
        if (first != null) {
            collector.report(path, "duplicate " + kind.label + " " + name + ", first declared at " + first);
        }
    }

    void addReference(Kind kind, String name, String path) {
        if (!declaredPaths.get(kind).containsKey(name)) {
            unresolved.add(new Reference(kind, name, path));
        }
    }

    void checkReferences() {
        for (Reference r : unresolved) {
            if (!declaredPaths.get(r.kind).containsKey(r.name)) {
                collector.report(r.path, "reference to undeclared " + r.kind.label + " " + r.name);
            }
        }
    }
}
