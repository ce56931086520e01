/** Distribution of a service's traffic over the regions, and the limits on how fast it may change. */
package org.lycheetray.core.regions;
