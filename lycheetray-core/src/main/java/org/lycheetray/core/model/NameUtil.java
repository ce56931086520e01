package org.lycheetray.core.model;

import java.util.regex.Pattern;

/** Checks names that a manifest declares. */
public final class NameUtil {
    /** Largest number of characters in a name. */
    public static final int MAX_LENGTH = 63;

    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?");

    private NameUtil() {}

    /**
     * Tells whether a text is a valid name: lower-case letters, digits and inner hyphens, at most
     * {@value #MAX_LENGTH} characters.
     *
     * @param text the text, may be null
     * @return true if the text can be used as a name
     */
    public static boolean isName(String text) {
        return text != null && NAME.matcher(text).matches();
    }

    /**
     * Throws unless a text is a valid name.
     *
     * @param text the text, may be null
     * @throws IllegalArgumentException if it is not a name
     */
    public static void requireName(String text) {
        if (!isName(text)) {
            throw new IllegalArgumentException("not a name of lower-case letters, digits and hyphens: " + text);
        }
    }
}
