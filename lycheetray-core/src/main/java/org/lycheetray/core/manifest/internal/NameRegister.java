package org.lycheetray.core.manifest.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Names that a manifest declares and uses; finds duplicates and dangling references.
 *
 * <p>A reference whose target was declared before is not kept, so that a manifest with more than a million client blocks
 * costs no memory here as long as its regions come first.
 */
final class NameRegister {
    /** What a name stands for; each kind has names of its own. */
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

    private final ManifestReporter reporter;
    private final Map<Kind, Map<String, String>> declared = new EnumMap<>(Kind.class);
    private final List<Reference> open = new ArrayList<>();

    NameRegister(ManifestReporter reporter) {
        this.reporter = reporter;
        for (Kind kind : Kind.values()) {
            declared.put(kind, new HashMap<>());
        }
    }

    void declare(Kind kind, String name, String path) {
        String first = declared.get(kind).putIfAbsent(name, path);
        if (first != null) {
            reporter.report(path, "duplicate " + kind.label + " " + name + ", first at " + first);
        }
    }

    void refer(Kind kind, String name, String path) {
        if (!declared.get(kind).containsKey(name)) {
            open.add(new Reference(kind, name, path));
        }
    }

    void checkReferences() {
        for (Reference r : open) {
            if (!declared.get(r.kind).containsKey(r.name)) {
                reporter.report(r.path, "no " + r.kind.label + " is called " + r.name);
            }
        }
    }
}
