/** How much of a service's traffic runs in which region, and how fast that may change. */
package org.lycheetray.core.regions;
