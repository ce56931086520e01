/**
 * Which entry VMs are alive, and which of them leads its data centre.
 *
 * <p>A VM exchanges heartbeats with the VMs of its own data centre only. The lead of a data centre summarises it as a
 * {@link org.lycheetray.core.membership.DataCentreView} and exchanges heartbeats with the other leads of its region;
 * one lead per region does so with the other regions. So traffic per VM grows with the size of a data centre and not
 * with the size of the fleet.
 */
package org.lycheetray.core.membership;
