package org.lycheetray.core.manifest.internal;

import com.fasterxml.jackson.core.JsonStreamContext;
import java.util.regex.Pattern;

/** Builds JSON paths as defined by RFC 9535, for example {@code $.services[2].name}. */
final class JsonPathUtil {
    static final String ROOT = "$";

    private static final Pattern PLAIN_KEY = Pattern.compile("[A-Za-z_][A-Za-z0-9_]*");

    private JsonPathUtil() {}

    static String field(String path, String key) {
        if (PLAIN_KEY.matcher(key).matches()) {
            return path + "." + key;
        }
        return path + "['" + key.replace("\\", "\\\\").replace("'", "\\'") + "']";
    }

    static String element(String path, int index) {
        return path + "[" + index + "]";
    }

    static String of(JsonStreamContext context) {
        if (context == null || context.inRoot()) {
            return ROOT;
        }
        String parent = of(context.getParent());
        if (context.inArray()) {
            return context.hasCurrentIndex() ? element(parent, context.getCurrentIndex()) : parent;
        }
        return context.hasCurrentName() ? field(parent, context.getCurrentName()) : parent;
    }
}
