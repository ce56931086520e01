package org.lycheetray.platform;

import java.util.List;
import java.util.Optional;

/**
 * One page of a list of object names.
 *
 * @param names object names in ascending order
 * @param next name after which the next page starts, empty on the last page
 */
public record ObjectPage(List<String> names, Optional<String> next) {
    /** Creates a page with a copy of the list. */
    public ObjectPage {
        names = List.copyOf(names);
    }
}
