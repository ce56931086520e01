package org.lycheetray.core.model;

import java.util.regex.Pattern;

/** Validates the names of elements of a manifest. */
public final class NameUtil {
    /** Maximum number of characters in a name. */
    public static final int MAX_LENGTH = 63;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private NameUtil() {}

    /**
     * Returns whether a text is a valid name: lower-case letters, digits and inner hyphens, at most
     * {@value #MAX_LENGTH} characters.
     *
     * @param text the text, may be null
     * @return true if the text is a valid name
     */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    /**
     * Checks that a text is a valid name.
     *
     * @param text the text, may be null
     * @throws IllegalArgumentException if the text is not a valid name
     */
    public static void requireName(String text) {
        if (!isName(text)) {
            throw new IllegalArgumentException("not a name of lower-case letters, digits and hyphens: " + text);
        }
    }
}
