/**
 * Failure detection for entry VMs, and election of one lead per data centre.
 *
 * <p>A VM exchanges heartbeats only with the VMs of its data centre. The lead of a data centre summarises it as a
 * {@link org.lycheetray.core.membership.DataCentreView} and exchanges heartbeats with the other leads of its region;
 * one lead per region does so with the other regions. Traffic per VM therefore grows with the size of a data centre,
 * not with the size of the fleet.
 */
package org.lycheetray.core.membership;
