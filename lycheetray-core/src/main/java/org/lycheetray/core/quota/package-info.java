/** Rate limits of client accounts over the whole fleet, enforced by reports between its VMs. */
package org.lycheetray.core.quota;
