package org.lycheetray.core.placement;

/** How likely it is that a backend server has the object of a request cached, as estimated by this VM. */
public enum CacheAffinity {
    /** This VM recently sent a request for the object to the server. */
    KNOWN,
    /** All VMs prefer this server for the object, so another VM has probably sent a request for it there. */
    LIKELY,
    /** There is no indication that the server has the object cached. */
    UNKNOWN
}
