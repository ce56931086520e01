package org.lycheetray.core.placement;

/** How likely a backend server has handled a request's object lately, as far as this VM can tell. */
public enum Familiarity {
    /** This VM has sent the object there. */
    KNOWN,
    /** The server is the one that every VM prefers for the object, so another VM may have sent it there. */
    LIKELY,
    /** Nothing speaks for it. */
    UNKNOWN
}
