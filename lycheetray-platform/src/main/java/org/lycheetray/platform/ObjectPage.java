package org.lycheetray.platform;

import java.util.List;
import java.util.Optional;

/**
 * Part of a list of objects.
 *
 * @param names names in order
 * @param next name after which the next page starts, empty if this is the last page
 */
public record ObjectPage(List<String> names, Optional<String> next) {
    /** Copies the list. */
    public ObjectPage {
        names = List.copyOf(names);
    }
}
