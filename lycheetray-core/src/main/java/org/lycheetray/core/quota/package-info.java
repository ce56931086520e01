/** Rates of client accounts over the whole fleet, kept by what its VMs tell each other. */
package org.lycheetray.core.quota;
